/** Writes checkpoints of the placement ledger, archives terminal jobs and removes stale chunks, on the leader only. */
import { adaptLimits, VALUE_FRAME_BYTES, valuesPerCommit } from './commit-limits.js';
import {
  CHECKPOINT_HEAD_KEY,
  checkpointChunkKey,
  checkpointId,
  jobKey,
  LOG_RING_CAPACITY,
  terminalKey,
} from './keys.js';
import type { Logger } from './logger.js';
import type { Replica } from './replica.js';
import {
  encodeCheckpointRows,
  encodeCheckpointHead,
  encodeChunk,
  packIntoChunks,
} from './stored/checkpoint-codec.js';
import { encodeTerminalStatus } from './stored/job-codec.js';
import type { FencedStore, RoleRegistry, TermProof } from '#roles';
import {
  type CommitResult,
  type Guard,
  isTooLarge,
  type RateLimiter,
  type Write,
  type WriteLimits,
} from '#store';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';

/** Minimum number of records between two checkpoints. */
const MIN_CHECKPOINT_INTERVAL_RECORDS = 90;
/** Minimum number of records between two checkpoints per chunk of the last one: large checkpoints are less frequent. */
const INTERVAL_RECORDS_PER_CHUNK = 8;
/** Fill level of a log's ring at which a checkpoint is always due. It leaves room for records during the write. */
const CHECKPOINT_LOG_FILL = 0.5;
const MAX_WRITE_ATTEMPTS = 8;
const WRITE_RETRY_DELAY: Micros = 400 * MS;

/** Dependencies of {@link CheckpointWriter}. */
export interface CheckpointWriterOptions {
  readonly store: FencedStore;
  readonly replica: Replica;
  readonly roles: RoleRegistry;
  readonly clock: Clock;
  readonly limits: WriteLimits;
  readonly rateLimiter: RateLimiter;
  readonly log: Logger;
}

/** Keeps free slots in the logs, and keeps the number of live keys small enough for the read at a node's start. */
export class CheckpointWriter {
  private isMaintaining = false;
  /** Number of checkpoints that this process has begun. */
  private checkpointCount = 0;

  constructor(private readonly options: CheckpointWriterOptions) {}

  /**
   * Performs one maintenance step: writes a checkpoint if one is due, or else archives terminal jobs, and then removes
   * stale checkpoint chunks. Does nothing on a node that does not lead, or while an earlier step is running.
   */
  async maintain(): Promise<void> {
    const termProof = this.options.roles.proveHeld('lead');
    if (this.isMaintaining || !termProof) return;
    this.isMaintaining = true;
    try {
      if (this.isCheckpointDue()) await this.writeCheckpoint(termProof);
      else await this.archiveTerminalJobs(termProof);
      const staleChunks = this.options.replica.staleCheckpointChunks().slice(0, this.options.limits.txnOps);
      if (staleChunks.length > 0) await this.removeChunks(termProof, staleChunks);
    } finally {
      this.isMaintaining = false;
    }
  }

  private isCheckpointDue(): boolean {
    const { checkpointChunkCount, recordsSinceCheckpoint, fullestLogRecords } = this.options.replica;
    const limit = Math.max(
      MIN_CHECKPOINT_INTERVAL_RECORDS,
      INTERVAL_RECORDS_PER_CHUNK * checkpointChunkCount,
    );
    return recordsSinceCheckpoint >= limit || fullestLogRecords >= CHECKPOINT_LOG_FILL * LOG_RING_CAPACITY;
  }

  /** Removes chunks of checkpoints that a newer checkpoint has replaced. */
  private async removeChunks(termProof: TermProof, paths: readonly string[]): Promise<void> {
    const { store, clock, rateLimiter } = this.options;
    await sleep(clock, rateLimiter.delay());
    rateLimiter.consume(paths.length);
    const writes = paths.map((remove) => ({ remove }));
    const action = 'clear old checkpoints';
    const result = await store.compareAndSwap({ proofs: [termProof], action, guards: [], writes });
    this.adaptLimits(result);
  }

  /** Moves terminal jobs out of the live keys, at the write rate that checkpoints leave unused. */
  private async archiveTerminalJobs(termProof: TermProof): Promise<void> {
    const { store, replica, limits, rateLimiter } = this.options;
    const terminal = [...replica.terminalJobs].slice(0, Math.max(1, Math.floor(limits.txnOps / 2)));
    if (terminal.length === 0 || rateLimiter.delay() > 0) return;
    const guards: Guard[] = [];
    const writes: Write[] = [];
    for (const [id, { status, revision }] of terminal) {
      guards.push({ path: jobKey(id), revision });
      writes.push({ remove: jobKey(id) }, { set: terminalKey(id), value: encodeTerminalStatus(status) });
    }
    rateLimiter.consume(writes.length);
    const action = 'put away ended jobs';
    const result = await store.compareAndSwap({ proofs: [termProof], action, guards, writes });
    this.adaptLimits(result);
    if (result.kind === 'applied') await replica.waitForRevision(result.revision, SECOND);
  }

  private async writeCheckpoint(termProof: TermProof): Promise<void> {
    const { replica, limits, log } = this.options;
    const { ledger, jobs } = replica;
    const positions = ledger.allPositions();
    const id = checkpointId(ledger.totalRecords, termProof.term, ++this.checkpointCount);
    const previousRevision = replica.checkpointRevision;
    const rows = encodeCheckpointRows(ledger, (job) => jobs.has(job));
    const chunks = packIntoChunks(rows, limits.valueBytes - VALUE_FRAME_BYTES);
    const writes = chunks.map((chunk, i) => ({ set: checkpointChunkKey(id, i), value: encodeChunk(chunk) }));
    if (!(await this.writeChunks(termProof, writes))) return;
    // The guard prevents a delayed commit of this head from replacing a newer checkpoint: by then the chunks of this
    // checkpoint may have been removed.
    const guards = [{ path: CHECKPOINT_HEAD_KEY, revision: previousRevision }];
    const head = encodeCheckpointHead({ id, positions, chunkCount: chunks.length });
    if (!(await this.writeWithRetry(termProof, guards, [{ set: CHECKPOINT_HEAD_KEY, value: head }]))) return;
    log.debug({ checkpointId: id, chunks: chunks.length }, 'checkpoint written');
  }

  /** Writes the chunks of one checkpoint, several in each commit. Resolves to false if a chunk was not written. */
  private async writeChunks(termProof: TermProof, writes: readonly Write[]): Promise<boolean> {
    const batchSize = valuesPerCommit(this.options.limits);
    for (let i = 0; i < writes.length; i += batchSize) {
      if (!(await this.writeWithRetry(termProof, [], writes.slice(i, i + batchSize)))) return false;
    }
    return true;
  }

  /**
   * Writes a part of a checkpoint and retries if it was not applied. Without a retry the parts already written would be
   * useless, and a full log accepts no records until a checkpoint covers its slots. Retries are safe: the chunk keys are
   * unique to the checkpoint, and the commit of its head is guarded.
   */
  private async writeWithRetry(termProof: TermProof, guards: Guard[], writes: Write[]): Promise<boolean> {
    const { store, clock, rateLimiter } = this.options;
    const action = 'write a checkpoint';
    for (let i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
      await sleep(clock, Math.max(rateLimiter.delay(), i > 0 ? WRITE_RETRY_DELAY : 0));
      rateLimiter.consume(writes.length);
      const result = await store.compareAndSwap({ proofs: [termProof], action, guards, writes });
      if (result.kind === 'applied') return true;
      if (result.kind === 'refused') return false;
      this.adaptLimits(result);
      // The other chunks have the size that was refused, so the next maintenance step starts a checkpoint with smaller
      // chunks.
      if (isTooLarge(result)) return false;
    }
    return false;
  }

  private adaptLimits(result: CommitResult): void {
    adaptLimits(result, this.options);
  }
}
