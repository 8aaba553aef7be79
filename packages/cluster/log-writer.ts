/** Appends placement records to the logs that this node owns, and ends jobs whose tasks are all done. */
import { CheckpointWriter } from './checkpoint-writer.js';
import { adaptLimits, VALUE_FRAME_BYTES, valuesPerCommit } from './commit-limits.js';
import type { LiveJob, TerminalStatus } from './jobs.js';
import { jobKey, type LogId, logKey } from './keys.js';
import type { Logger } from './logger.js';
import type { RecordDraft, RecordPosition } from './placement.js';
import type { Replica } from './replica.js';
import { encodeTerminalStatus } from './stored/job-codec.js';
import { encodeRecord, encodeRecordDraft, type StoredRecordDraft } from './stored/record-codec.js';
import { splitDraft } from './stored/record-splitter.js';
import type { FencedCommit, FencedStore, RoleName, RoleRegistry, TermProof, TermProofs } from '#roles';
import type { Guard, RateLimiter, Write, WriteLimits } from '#store';
import { type Clock, type Micros, MS, SECOND } from '#wire';

/** Dependencies of {@link LogWriter}. */
export interface LogWriterOptions {
  readonly store: FencedStore;
  readonly replica: Replica;
  readonly roles: RoleRegistry;
  readonly clock: Clock;
  readonly limits: WriteLimits;
  /** Limits the rate of records and terminal statuses, in values. */
  readonly recordLimiter: RateLimiter;
  /**
   * Limits the rate of checkpoint writes. Only the leader writes checkpoints. At a thousand machines a checkpoint has
   * dozens of values, which would delay the leader's scheduling rounds for seconds if they shared the record limiter.
   */
  readonly checkpointLimiter: RateLimiter;
  readonly log: Logger;
}

/** A part of a draft that fits into one value, and the log that it is to be appended to. */
interface PendingRecord {
  readonly log: LogId;
  readonly draft: StoredRecordDraft;
}

/** The guards and writes of one commit. */
interface RecordBatch {
  readonly guards: Guard[];
  readonly writes: Write[];
}

/**
 * Writes to the logs that a node owns. Every commit is guarded by the ownership that it is made under, so that it is
 * not applied after that ownership has ended. Every record is also guarded by the revision of its slot, so that a
 * commit whose answer was lost and the commit after it cannot both be applied.
 */
export class LogWriter {
  private readonly checkpointWriter: CheckpointWriter;

  constructor(private readonly options: LogWriterOptions) {
    const { store, replica, roles, clock, limits, checkpointLimiter: rateLimiter, log } = options;
    this.checkpointWriter = new CheckpointWriter({ store, replica, roles, clock, limits, rateLimiter, log });
  }

  /** Returns the delay before the next append, which leaves users' submissions their part of the allowed write rate. */
  appendDelay(): Micros {
    return this.options.recordLimiter.delay();
  }

  /**
   * Appends drafts to logs that this node owns. Resolves to true once all drafts are committed and applied to this
   * replica. Resolves to false otherwise: any number of them may have been applied, so the caller must plan again.
   * `requiredRoles`: roles that the drafts rely on besides the ownership of their logs.
   */
  async append(
    drafts: ReadonlyMap<LogId, RecordDraft>,
    requiredRoles: readonly LogId[] = [],
  ): Promise<boolean> {
    const records = this.splitDrafts(drafts);
    const batchSize = valuesPerCommit(this.options.limits);
    for (let i = 0; i < records.length; i += batchSize) {
      const batch = records.slice(i, i + batchSize);
      const proofs = this.proveRolesHeld(new Set([...batch.map((record) => record.log), ...requiredRoles]));
      if (!proofs) return false;
      const commit = this.prepareBatch(batch);
      if (!commit) return false;
      const { guards, writes } = commit;
      if (!(await this.commitAndAwait({ proofs, action: 'append records', guards, writes }))) return false;
    }
    return true;
  }

  /** Writes the terminal status of jobs whose tasks are all done, under the ownership of these shards. */
  async completeJobs(jobs: [string, LiveJob][], shards: readonly LogId[]): Promise<void> {
    const batchSize = this.options.limits.txnOps;
    for (let i = 0; i < jobs.length; i += batchSize) {
      const proofs = this.proveRolesHeld(new Set(shards));
      if (!proofs) return;
      const batch = jobs.slice(i, i + batchSize);
      // If the job was cancelled meanwhile, its row has a later revision: the guard fails, and the job stays cancelled.
      const guards = batch.map(([id, job]) => ({ path: jobKey(id), revision: job.acceptedRevision }));
      const writes = batch.map(([id]) => terminalStatusWrite(id, 'done'));
      if (!(await this.commitAndAwait({ proofs, action: 'end jobs', guards, writes }))) return;
    }
  }

  /** Performs one maintenance step; see {@link CheckpointWriter.maintain}. */
  maintain(): Promise<void> {
    return this.checkpointWriter.maintain();
  }

  /** Splits drafts into parts that fit into one value each, in the order in which they are committed. */
  private splitDrafts(drafts: ReadonlyMap<LogId, RecordDraft>): PendingRecord[] {
    const maxBytes = this.options.limits.valueBytes - VALUE_FRAME_BYTES;
    const records: PendingRecord[] = [];
    for (const [log, draft] of drafts) {
      for (const part of splitDraft(encodeRecordDraft(draft), maxBytes)) records.push({ log, draft: part });
    }
    // Completions of all logs come before starts of any log: a start may need the quota that a completion frees.
    return records.sort(
      (a, b) => Number(a.draft.starts !== undefined) - Number(b.draft.starts !== undefined),
    );
  }

  /** Assigns each record the next slot of its log. Returns null if one of the logs is full. */
  private prepareBatch(records: readonly PendingRecord[]): RecordBatch | null {
    const { replica, clock } = this.options;
    const batch: RecordBatch = { guards: [], writes: [] };
    const lastSequences = new Map<LogId, number>();
    for (const { log, draft } of records) {
      const sequence = (lastSequences.get(log) ?? replica.ledger.position(log)) + 1;
      lastSequences.set(log, sequence);
      const position: RecordPosition = { sequence, recordedAtMs: Math.floor(clock.wall() / MS) };
      if (batch.writes.length > 0) position.commitIndex = batch.writes.length;
      const revision = replica.slotRevision(log, sequence);
      if (revision === null) {
        this.options.log.info({ log, sequence }, 'log full until checkpoint');
        return null;
      }
      batch.guards.push({ path: logKey(log, sequence), revision });
      batch.writes.push({ set: logKey(log, sequence), value: encodeRecord(draft, position) });
    }
    return batch;
  }

  /** Returns term proofs of all these roles, or null if this node no longer holds one of them. */
  private proveRolesHeld(roles: ReadonlySet<RoleName>): TermProofs | null {
    const proofs: TermProof[] = [];
    for (const role of roles) {
      const termProof = this.options.roles.proveHeld(role);
      if (!termProof) return null;
      proofs.push(termProof);
    }
    const [first, ...others] = proofs;
    return first ? [first, ...others] : null;
  }

  /** Commits, and resolves to true once the replica has applied the commit. After false the outcome is unknown. */
  private async commitAndAwait(commit: FencedCommit): Promise<boolean> {
    const { store, replica, limits, recordLimiter: rateLimiter, log } = this.options;
    const { action, guards, writes } = commit;
    rateLimiter.consume(writes.length);
    const result = await store.compareAndSwap(commit);
    if (result.kind === 'applied') return replica.waitForRevision(result.revision, SECOND);
    adaptLimits(result, { limits, rateLimiter, log });
    log.debug({ result, action, key: guards.at(-1)?.path }, 'commit not applied');
    // The answer to an applied commit may have been lost, so the replica must first catch up with the log.
    await replica.barrier();
    return false;
  }
}

/**
 * Returns the write that ends a job. It replaces the job's row by its terminal status, so that the status need not wait
 * for the additional changes of archiving the job.
 */
export function terminalStatusWrite(id: string, status: TerminalStatus): Write {
  return { set: jobKey(id), value: encodeTerminalStatus(status) };
}
