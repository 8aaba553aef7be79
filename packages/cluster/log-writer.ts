import {
  CHECKPOINT_HEAD_KEY,
  checkpointId,
  checkpointChunkKey,
  jobKey,
  type LogId,
  logKey,
  LOG_RING_CAPACITY,
  terminalKey,
} from './keys.js';
import type { TerminalStatus, LiveJob } from './jobs.js';
import type { Logger } from './logger.js';
import type { RecordDraft, RecordPosition } from './placement.js';
import type { Replica } from './replica.js';
import { checkpointRows, encodeCheckpointHead, encodeChunk, packRows } from './stored/checkpoint-codec.js';
import { encodeFinal } from './stored/job-codec.js';
import { encodeRecord, encodeRecordDraft, type StoredRecordDraft } from './stored/record-codec.js';
import { splitDraft } from './stored/record-splitter.js';
import type { RoleName, RoleRegistry, FencedStore, TermProof } from '#roles';
import {
  type CommitResult,
  type Guard,
  isRateLimited,
  isTooLarge,
  type RateLimiter,
  type Write,
  type WriteLimits,
} from '#store';
import { type Clock, type Micros, MS, SECOND, sleep } from '#wire';

/** Records between two checkpoints, at least and for each value that the last one took. */
const CHECKPOINT_EVERY = 90;
const RECORDS_PER_CHUNK = 8;
/** A log that is filled to this part needs one all the same: writing it takes time, too. */
const CHECKPOINT_FILL = 0.5;
const CHECKPOINT_TRIES = 8;
const CHECKPOINT_RETRY: Micros = 400 * MS;
const TXN_BYTES = 60 * 1024;
/** Room left in a value for the number and time of a record, or the frame of a chunk. */
const FRAME_BYTES = 200;

/**
 * Writes to the logs for a node. Every commit carries a guard on the ownership it is made under, so none can
 * land once that is over, and a guard on each record's own place, so that a commit whose answer was lost and
 * the one after it can't both land.
 */
export class LogWriter {
  private maintaining = false;
  private attempts = 0;

  constructor(
    private readonly store: FencedStore,
    private readonly replica: Replica,
    private readonly roles: RoleRegistry,
    private readonly clock: Clock,
    private readonly limits: WriteLimits,
    /** For records and jobs' ends. */
    private readonly recordLimiter: RateLimiter,
    /**
     * For checkpoints, which only the leader writes: dozens of values each at a thousand machines. Out of the
     * same part as its records they would hold up its rounds for seconds.
     */
    private readonly checkpointLimiter: RateLimiter,
    private readonly log: Logger,
  ) {}

  /** How long the next record should wait, so that users' submissions find room beside the logs. */
  appendDelay(): Micros {
    return this.recordLimiter.delay();
  }

  /**
   * Appends drafts to logs that this node writes. True once all are committed and applied here. False:
   * nothing may be assumed, plan anew. `also`: ownerships on which the drafts rely besides their own logs'.
   */
  async append(drafts: ReadonlyMap<LogId, RecordDraft>, also: readonly LogId[] = []): Promise<boolean> {
    const parts: { log: LogId; part: StoredRecordDraft }[] = [];
    for (const [log, draft] of drafts) {
      const stored = encodeRecordDraft(draft);
      for (const part of splitDraft(stored, this.limits.valueBytes - FRAME_BYTES)) parts.push({ log, part });
    }
    // Ends of every log come before starts of any: a limit may rely on them.
    parts.sort((a, b) => Number(a.part.starts !== undefined) - Number(b.part.starts !== undefined));
    const perTxn = this.valuesPerCommit();
    for (let i = 0; i < parts.length; i += perTxn) {
      const some = parts.slice(i, i + perTxn);
      const proofs = this.proofsFor(new Set([...some.map((p) => p.log), ...also]));
      if (!proofs) return false;
      const guards: Guard[] = [];
      const writes: Write[] = [];
      const next = new Map<LogId, number>();
      for (const { log, part } of some) {
        const seq = (next.get(log) ?? this.replica.ledger.position(log)) + 1;
        next.set(log, seq);
        const position: RecordPosition = { sequence: seq, recordedAtMs: Math.floor(this.clock.wall() / MS) };
        if (writes.length > 0) position.commitIndex = writes.length;
        const revision = this.replica.slotRevision(log, seq);
        if (revision === null) {
          this.log.info({ log, seq }, 'log waits for a checkpoint');
          return false;
        }
        guards.push({ path: logKey(log, seq), revision });
        writes.push({ set: logKey(log, seq), value: encodeRecord(part, position) });
      }
      if (!(await this.commitAndAwait(proofs, 'append records', guards, writes))) return false;
    }
    return true;
  }

  /** Ends jobs whose tasks are all done. */
  async completeJobs(jobs: [string, LiveJob][], shards: readonly LogId[]): Promise<void> {
    const perTxn = this.limits.txnOps;
    for (let i = 0; i < jobs.length; i += perTxn) {
      const proofs = this.proofsFor(new Set(shards));
      if (!proofs) return;
      const guards: Guard[] = [];
      const some = jobs.slice(i, i + perTxn);
      // A cancellation that came first has changed the key: then the job stays cancelled.
      for (const [id, job] of some) guards.push({ path: jobKey(id), revision: job.acceptedRevision });
      const writes = some.map(([id]) => terminalStatusWrite(id, 'done'));
      if (!(await this.commitAndAwait(proofs, 'end jobs', guards, writes))) return;
    }
  }

  /** The leader's: writes a checkpoint when enough has come since the last, clears what that made superfluous. */
  async maintain(): Promise<void> {
    const termProof = this.roles.proveHeld('lead');
    if (this.maintaining || !termProof) return;
    this.maintaining = true;
    try {
      const due = Math.max(CHECKPOINT_EVERY, RECORDS_PER_CHUNK * this.replica.checkpointChunkCount);
      if (
        this.replica.recordsSinceCheckpoint >= due ||
        this.replica.fullestLogRecords >= CHECKPOINT_FILL * LOG_RING_CAPACITY
      )
        await this.writeCheckpoint(termProof);
      else await this.archiveTerminalJobs(termProof);
      const litter = this.replica.staleCheckpointChunks().slice(0, this.limits.txnOps);
      if (litter.length > 0) {
        await sleep(this.clock, this.checkpointLimiter.delay());
        this.checkpointLimiter.consume(litter.length);
        const removals = litter.map((remove) => ({ remove }));
        const result = await this.store.compareAndSwap([termProof], 'clear old checkpoints', [], removals);
        this.adaptLimits(result, this.checkpointLimiter);
      }
    } finally {
      this.maintaining = false;
    }
  }

  /** Takes ended jobs from among the live ones, out of what checkpoints leave of their part. */
  private async archiveTerminalJobs(termProof: TermProof): Promise<void> {
    const ended = [...this.replica.terminalJobs].slice(0, Math.max(1, Math.floor(this.limits.txnOps / 2)));
    if (ended.length === 0 || this.checkpointLimiter.delay() > 0) return;
    const guards: Guard[] = [];
    const writes: Write[] = [];
    for (const [id, { status, revision }] of ended) {
      guards.push({ path: jobKey(id), revision });
      writes.push({ remove: jobKey(id) }, { set: terminalKey(id), value: encodeFinal(status) });
    }
    this.checkpointLimiter.consume(writes.length);
    const result = await this.store.compareAndSwap([termProof], 'put away ended jobs', guards, writes);
    this.adaptLimits(result, this.checkpointLimiter);
    if (result.kind === 'applied') await this.replica.waitForRevision(result.epoch, SECOND);
  }

  private async writeCheckpoint(termProof: TermProof): Promise<void> {
    const { ledger, jobs } = this.replica;
    const positions = ledger.allPositions();
    const id = checkpointId(ledger.totalRecords, termProof.term, ++this.attempts);
    const before = this.replica.checkpointRevision;
    const rows = checkpointRows(ledger, (job) => jobs.has(job));
    const chunks = packRows(rows, this.limits.valueBytes - FRAME_BYTES);
    const writes: Write[] = chunks.map((part, i) => ({
      set: checkpointChunkKey(id, i),
      value: encodeChunk(part),
    }));
    const perTxn = this.valuesPerCommit();
    for (let i = 0; i < writes.length; i += perTxn) {
      if (!(await this.writeCheckpointPart(termProof, [], writes.slice(i, i + perTxn)))) return;
    }
    // Once a newer checkpoint is the present one, its predecessors' chunks go: a late commit of this one must
    // not bring it back then.
    const guards: Guard[] = [{ path: CHECKPOINT_HEAD_KEY, revision: before }];
    const head = encodeCheckpointHead({ id, positions, chunkCount: chunks.length });
    if (!(await this.writeCheckpointPart(termProof, guards, [{ set: CHECKPOINT_HEAD_KEY, value: head }])))
      return;
    this.log.debug({ id, chunks: chunks.length }, 'checkpoint');
  }

  /**
   * Writes a part of a checkpoint, again if it was not taken: parts that landed would be of no use without the
   * others, and logs can't go on for ever without a checkpoint. Repeating does no harm: the keys of the chunks
   * are its own, and the commit of its head is guarded.
   */
  private async writeCheckpointPart(
    termProof: TermProof,
    guards: Guard[],
    writes: Write[],
  ): Promise<boolean> {
    for (let i = 0; i < CHECKPOINT_TRIES; i++) {
      await sleep(this.clock, Math.max(this.checkpointLimiter.delay(), i > 0 ? CHECKPOINT_RETRY : 0));
      this.checkpointLimiter.consume(writes.length);
      const result = await this.store.compareAndSwap([termProof], 'write a checkpoint', guards, writes);
      if (result.kind === 'applied') return true;
      if (result.kind === 'refused') return false;
      this.adaptLimits(result, this.checkpointLimiter);
      // Its other parts were cut to the same size: the checkpoint is begun anew with smaller ones.
      if (isTooLarge(result)) return false;
    }
    return false;
  }

  /** Later writes are smaller, or come more slowly, if this one was refused for its size or pace. */
  private adaptLimits(result: CommitResult, pace: RateLimiter): void {
    if (isRateLimited(result)) pace.onRejected();
    if (!isTooLarge(result)) return;
    this.limits.shrink();
    const { valueBytes, txnOps } = this.limits;
    this.log.info({ valueBytes, txnOps }, 'writes get smaller');
  }

  private valuesPerCommit(): number {
    return Math.max(1, Math.min(this.limits.txnOps, Math.floor(TXN_BYTES / this.limits.valueBytes)));
  }

  /** The right to write to these logs, or null if this node no longer holds one of them. */
  private proofsFor(logs: ReadonlySet<RoleName>): [TermProof, ...TermProof[]] | null {
    const proofs: TermProof[] = [];
    for (const log of logs) {
      const termProof = this.roles.proveHeld(log);
      if (!termProof) return null;
      proofs.push(termProof);
    }
    const [first, ...others] = proofs;
    return first ? [first, ...others] : null;
  }

  private async commitAndAwait(
    proofs: [TermProof, ...TermProof[]],
    action: string,
    guards: Guard[],
    writes: Write[],
  ): Promise<boolean> {
    this.recordLimiter.consume(writes.length);
    const result = await this.store.compareAndSwap(proofs, action, guards, writes);
    if (result.kind === 'applied') return this.replica.waitForRevision(result.epoch, SECOND);
    this.adaptLimits(result, this.recordLimiter);
    this.log.debug({ result, action, last: guards.at(-1)?.path }, 'commit did not land');
    // What the log says now decides: a lost answer may hide a commit that was applied.
    await this.replica.barrier();
    return false;
  }
}

/**
 * Ends a job with a single change, in the place where it lies: its end must not wait behind the changes that putting
 * it away takes. From then on the key says nothing but how it ended.
 */
export function terminalStatusWrite(id: string, status: TerminalStatus): Write {
  return { set: jobKey(id), value: encodeFinal(status) };
}
