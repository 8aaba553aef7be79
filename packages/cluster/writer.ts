import { CHECKPOINT_HEAD, JOBS, LEAD, chunkKey, jobKey, logKey, overKey } from './keys.js';
import type { Leadership } from './leadership.js';
import type { CheckpointRow, PlacementRecord, StartGroup } from './ledger.js';
import type { Logger } from './logger.js';
import type { Final, LiveJob, Replica } from './replica.js';
import type { Guard, StoreClient, Write } from '#store';
import { type Fields, jsonBytes, SECOND } from '#wire';

export type RecordDraft = Omit<PlacementRecord, 'Seq' | 'At'>;

/** Records between two checkpoints. */
const CHECKPOINT_EVERY = 60;
const TXN_BYTES = 60 * 1024;

/**
 * Writes the placement log for the node that leads. Every commit carries a guard on the lead, so none can
 * land under a leadership that is over, and a guard on the record's own number, so that a commit whose
 * answer was lost and the one after it can't both land.
 */
export class LogWriter {
  private checkpointing = false;

  constructor(
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly leadership: Leadership,
    private readonly wall: () => number,
    private readonly limits: { valueBytes: number; txnOps: number },
    private readonly log: Logger,
  ) {}

  /** True once the whole draft is committed and applied here. False: nothing may be assumed, plan anew. */
  async append(draft: RecordDraft): Promise<boolean> {
    const parts = splitDraft(draft, this.limits.valueBytes - 200);
    const perTxn = Math.max(1, Math.min(this.limits.txnOps, Math.floor(TXN_BYTES / this.limits.valueBytes)));
    for (let i = 0; i < parts.length; i += perTxn) {
      const lead = this.leadership.held();
      if (!lead) return false;
      const first = this.replica.ledger.seq + 1;
      const records = parts.slice(i, i + perTxn).map((part, k) => ({
        ...part,
        Seq: first + k,
        At: this.wall(),
      }));
      const guards: Guard[] = [{ path: LEAD, stamp: lead.stamp }];
      const writes: Write[] = [];
      for (const record of records) {
        guards.push({ path: logKey(record.Seq), stamp: 0 });
        writes.push({ set: logKey(record.Seq), value: record as unknown as Fields });
      }
      if (!(await this.settle(guards, writes))) return false;
    }
    return true;
  }

  /** Moves jobs whose tasks are all done from the live to the final ones. */
  async finish(jobs: [string, LiveJob][]): Promise<void> {
    const perTxn = Math.max(1, Math.floor(this.limits.txnOps / 2));
    for (let i = 0; i < jobs.length; i += perTxn) {
      const lead = this.leadership.held();
      if (!lead) return;
      const some = jobs.slice(i, i + perTxn);
      const guards = [
        { path: LEAD, stamp: lead.stamp },
        // A withdrawal that came first has removed the key: then the job stays withdrawn.
        ...some.map(([id, job]) => ({ path: jobKey(id), stamp: job.stamp })),
      ];
      if (
        !(await this.settle(
          guards,
          some.flatMap(([id]) => overWrites(id, 'done')),
        ))
      )
        return;
    }
  }

  /** Writes a checkpoint when enough records have come since the last, then clears what it made superfluous. */
  async tidy(): Promise<void> {
    if (this.checkpointing || !this.leadership.held()) return;
    this.checkpointing = true;
    try {
      const { ledger, checkpointSeq } = this.replica;
      if (ledger.seq - checkpointSeq >= CHECKPOINT_EVERY) await this.checkpoint();
      const lead = this.leadership.held();
      const litter = this.replica.litter().slice(0, this.limits.txnOps);
      if (lead && litter.length > 0) {
        await this.store.commit(
          [{ path: LEAD, stamp: lead.stamp }],
          litter.map((remove) => ({ remove })),
        );
      }
    } finally {
      this.checkpointing = false;
    }
  }

  private async checkpoint(): Promise<void> {
    const { ledger, jobs } = this.replica;
    const seq = ledger.seq;
    const chunks = packRows(
      ledger.checkpoint((id) => jobs.has(id)),
      this.limits.valueBytes - 200,
    );
    const writes: Write[] = chunks.map((rows, i) => ({ set: chunkKey(seq, i), value: { Rows: rows } }));
    writes.push({ set: CHECKPOINT_HEAD, value: { Seq: seq, Chunks: chunks.length } });
    const perTxn = Math.max(1, Math.min(this.limits.txnOps, Math.floor(TXN_BYTES / this.limits.valueBytes)));
    for (let i = 0; i < writes.length; i += perTxn) {
      const lead = this.leadership.held();
      if (!lead) return;
      if (!(await this.settle([{ path: LEAD, stamp: lead.stamp }], writes.slice(i, i + perTxn)))) return;
    }
    this.log.debug({ seq, chunks: chunks.length }, 'checkpoint');
  }

  private async settle(guards: Guard[], writes: Write[]): Promise<boolean> {
    const result = await this.store.commit(guards, writes);
    if (result.kind === 'applied') return this.replica.reach(result.epoch, SECOND);
    this.log.debug({ result, first: guards.at(-1)?.path }, 'commit did not land');
    // What the log says now decides: a lost answer may hide a commit that was applied.
    await this.replica.barrier();
    return false;
  }
}

export function overWrites(id: string, status: Final): Write[] {
  return [{ remove: JOBS + id }, { set: overKey(id), value: { Status: status } }];
}

/**
 * Cuts a draft into parts that each fit into one value, ends before starts, so that no prefix of the parts
 * holds a start that relies on an end after it.
 */
export function splitDraft(draft: RecordDraft, limit: number): RecordDraft[] {
  const parts: RecordDraft[] = [{}];
  let size = 2;
  const room = (bytes: number): RecordDraft => {
    if (size + bytes > limit) {
      parts.push({});
      size = 2;
    }
    size += bytes;
    return parts[parts.length - 1] as RecordDraft;
  };
  for (const end of draft.Ends ?? []) (room(jsonBytes(end) + 10).Ends ??= []).push(end);
  for (const host of draft.Gone ?? []) (room(jsonBytes(host) + 10).Gone ??= []).push(host);
  for (const row of draft.Hosts ?? []) (room(jsonBytes(row) + 10).Hosts ??= []).push(row);
  for (const hire of draft.Settled ?? []) (room(jsonBytes(hire) + 14).Settled ??= []).push(hire);
  for (const row of draft.Hires ?? []) (room(jsonBytes(row) + 10).Hires ??= []).push(row);
  for (const [shape, row] of Object.entries(draft.Prices ?? {})) {
    (room(jsonBytes(row) + jsonBytes(shape) + 14).Prices ??= {})[shape] = row;
  }
  for (const [crew, cpus] of Object.entries(draft.Unmet ?? {})) {
    (room(jsonBytes(crew) + 34).Unmet ??= {})[crew] = cpus;
  }
  for (const group of draft.Starts ?? []) {
    const head = jsonBytes({ ...group, On: [] }) + 14;
    let open: StartGroup | null = null;
    let holder: RecordDraft | null = null;
    for (const on of group.On) {
      const part = room(jsonBytes(on) + 1 + (open ? 0 : head));
      if (!open || part !== holder) {
        if (open) size += head;
        open = { ...group, On: [] };
        holder = part;
        (part.Starts ??= []).push(open);
      }
      open.On.push(on);
    }
  }
  return parts;
}

function packRows(rows: CheckpointRow[], limit: number): CheckpointRow[][] {
  const chunks: CheckpointRow[][] = [[]];
  let size = 12;
  for (const row of rows) {
    const bytes = jsonBytes(row) + 1;
    if (size + bytes > limit) {
      chunks.push([]);
      size = 12;
    }
    size += bytes;
    chunks[chunks.length - 1]?.push(row);
  }
  return chunks;
}
