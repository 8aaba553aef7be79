/** Applies rows of the state service, and changes of these rows, to a node's replica of the live state. */
import {
  CAPABILITY_PREFIX,
  CHECKPOINT_CHUNK_PREFIX,
  CHECKPOINT_HEAD_KEY,
  FENCING_TOKEN_KEY,
  JOB_PREFIX,
  LEADER_KEY,
  LOG_PREFIX,
  logIdOfKey,
  MACHINE_TYPE_PREFIX,
  MEMBER_PREFIX,
  SHARD_PREFIX,
  TERMINAL_PREFIX,
} from './keys.js';
import type { Logger } from './logger.js';
import type { LeaseHolder } from './members.js';
import type { ClusterState } from './cluster-state.js';
import { decodeCheckpointHead } from './stored/checkpoint-codec.js';
import {
  decodeFencingToken,
  decodeLeaseHolder,
  decodeShardOwner,
  isHolderReadable,
  UNREADABLE_FENCING_TOKEN,
} from './stored/holder-codec.js';
import { decodeJobRow, decodeTerminalStatus, isTerminal } from './stored/job-codec.js';
import { decodeMachineTypeRow, decodeMachineTypeRowCount } from './stored/machine-type-codec.js';
import { decodeCapabilities, decodeMember } from './stored/member-codec.js';
import { decodeRecord, decodeSequence } from './stored/record-codec.js';
import type { TerminalStatusCache } from './terminal-status-cache.js';
import type { Change, Row } from '#store';

/** Dependencies of {@link ChangeApplier}. */
export interface ChangeApplierOptions {
  readonly state: ClusterState;
  readonly terminalStatuses: TerminalStatusCache;
  readonly log: Logger;
}

/** Applies changes to a {@link ClusterState}. The caller passes them in the order of their commits. */
export class ChangeApplier {
  private readonly state: ClusterState;
  private readonly terminalStatuses: TerminalStatusCache;
  private readonly log: Logger;

  constructor({ state, terminalStatuses, log }: ChangeApplierOptions) {
    this.state = state;
    this.terminalStatuses = terminalStatuses;
    this.log = log;
  }

  /** Applies one change. Returns false if the change is a record that follows a gap in its log. */
  apply(change: Change): boolean {
    const { path } = change;
    if (path.startsWith(LOG_PREFIX)) return this.applyRecord(change);
    if (path.startsWith(JOB_PREFIX)) this.applyJob(path.slice(JOB_PREFIX.length), change);
    else if (path === LEADER_KEY) this.applyLeader(change);
    else if (path === FENCING_TOKEN_KEY) this.applyFencingToken(change);
    else if (path.startsWith(SHARD_PREFIX)) this.applyShardOwner(change);
    else if (path.startsWith(MEMBER_PREFIX)) this.applyMember(change);
    else if (path.startsWith(CAPABILITY_PREFIX)) this.applyCapabilities(change);
    else if (path.startsWith(TERMINAL_PREFIX)) this.applyTerminalStatus(change);
    else if (path.startsWith(MACHINE_TYPE_PREFIX)) this.applyMachineType(change);
    else if (path === CHECKPOINT_HEAD_KEY) this.applyCheckpointHead(change);
    else if (path.startsWith(CHECKPOINT_CHUNK_PREFIX)) this.applyCheckpointChunk(change);
    return true;
  }

  /** Records which log record a slot holds, and at which revision. */
  trackLogSlot({ path, value, revision }: Row): void {
    this.state.logSlots.set(path, { sequence: decodeSequence(value), revision });
  }

  private applyRecord({ path, value, revision }: Change): boolean {
    const { ledger, jobs, logSlots } = this.state;
    if (!value) {
      logSlots.delete(path);
      return true;
    }
    const record = decodeRecord(value);
    this.trackLogSlot({ path, value, revision });
    if (!ledger.apply(logIdOfKey(path), record)) return false;
    for (const [job] of record.completions ?? []) if (!jobs.has(job)) ledger.dropJob(job);
    return true;
  }

  private applyJob(id: string, { value, revision }: Change): void {
    const { ledger, jobs, terminalJobs } = this.state;
    terminalJobs.delete(id);
    if (value && !isTerminal(value)) {
      jobs.set(id, decodeJobRow(value, revision));
      return;
    }
    jobs.delete(id);
    ledger.dropJob(id);
    if (value) terminalJobs.set(id, { status: decodeTerminalStatus(value), revision });
  }

  private applyLeader({ path, value, revision }: Change): void {
    this.state.leader = value && this.logIfUnreadable(path, decodeLeaseHolder(value, revision));
  }

  private applyShardOwner({ path, value, revision }: Change): void {
    const shard = Number(path.slice(SHARD_PREFIX.length));
    if (!value) this.state.shardOwners.delete(shard);
    else this.state.shardOwners.set(shard, this.logIfUnreadable(path, decodeShardOwner(value, revision)));
  }

  private applyFencingToken({ path, value, revision }: Change): void {
    const fencingToken = decodeFencingToken(value);
    if (fencingToken === null) this.logUnreadable(path, revision);
    this.state.fencingToken = { value: fencingToken ?? UNREADABLE_FENCING_TOKEN, revision };
  }

  private applyMember({ path, value, revision }: Change): void {
    const member = path.slice(MEMBER_PREFIX.length);
    if (value) this.state.members.set(member, decodeMember(member, value, revision));
    else this.state.members.delete(member);
  }

  private applyCapabilities({ path, value }: Change): void {
    this.state.capabilities.set(path.slice(CAPABILITY_PREFIX.length), decodeCapabilities(value));
  }

  private applyTerminalStatus({ path, value }: Change): void {
    if (!value) return;
    this.terminalStatuses.set(path.slice(TERMINAL_PREFIX.length), decodeTerminalStatus(value));
  }

  private applyMachineType({ path, value }: Change): void {
    const name = path.slice(MACHINE_TYPE_PREFIX.length);
    const { machineTypes, machineTypeRowCounts } = this.state;
    if (value) {
      machineTypes.set(name, decodeMachineTypeRow(value));
      machineTypeRowCounts.set(name, decodeMachineTypeRowCount(value));
    } else {
      machineTypes.delete(name);
      machineTypeRowCounts.delete(name);
    }
  }

  private applyCheckpointHead({ value, revision }: Change): void {
    if (!value) return;
    const { id, positions, chunkCount } = decodeCheckpointHead(value);
    this.state.checkpoint = { id, positions, chunkCount, revision };
  }

  private applyCheckpointChunk({ path, value }: Change): void {
    if (value) this.state.checkpointChunkKeys.add(path);
    else this.state.checkpointChunkKeys.delete(path);
  }

  /** Returns the holder unchanged. Logs the row if it is unreadable, in which case no member may act in the role. */
  private logIfUnreadable<H extends LeaseHolder>(path: string, holder: H): H {
    if (!isHolderReadable(holder)) this.logUnreadable(path, holder.revision);
    return holder;
  }

  private logUnreadable(key: string, revision: number): void {
    this.log.error({ key, revision }, 'role record unreadable');
  }
}
