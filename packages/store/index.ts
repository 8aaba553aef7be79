import { type EpochCheck, TRUSTING_EPOCH_CHECK } from './epoch-check.js';
import { type Caller, type Count, type Fields, isFields, type Method, type Micros, MS, SECOND } from '#wire';

export * from './epoch-check.js';
export * from './pace.js';
export * from './write-limits.js';

/** The state service's own page calls them `Path`, `V`, `Stamp`, `Permit`, `Epoch`. */
export interface Row {
  path: string;
  value: Fields;
  revision: number;
}

export type Change = { path: string; revision: number; value: Fields | null };

export interface Guard {
  path: string;
  /** 0: the key must not exist. */
  revision: number;
}

export type Write = { set: string; value: Fields; leaseId?: Count } | { remove: string };

/**
 * What became of a commit. `unknown`: no answer, so it may have been applied or may yet be; whoever sent it
 * reads back before going on.
 */
export type CommitResult =
  | { kind: 'applied'; epoch: number }
  | { kind: 'refused'; failed: string[]; epoch: number }
  | { kind: 'no_permit' }
  | { kind: 'not_executed'; status: number }
  | { kind: 'unknown' };

/** The write is larger than the state service takes, now that its limits may have fallen. */
export function isTooLarge(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === 400;
}

/** Changes come faster than the state service takes them. */
export function isTooFast(result: CommitResult): boolean {
  return result.kind === 'not_executed' && result.status === 429;
}

/** An answer that isn't the one asked for: over the limits, an outage, or none at all (status 0). */
export class StoreError extends Error {
  constructor(readonly status: number) {
    super(status === 0 ? 'state service: no response' : `state service: ${status}`);
  }
}

const TIMEOUT: Micros = 1500 * MS;
/** What a node that is not to use the state service gets instead of an answer: the same as one that it refuses. */
const UNAVAILABLE = 503;
/** Never written: reading it costs one request and tells the present epoch. */
export const NEVER_WRITTEN = 'mw/nothing';

export class StoreClient {
  constructor(
    private readonly endpoint: string,
    private readonly call: Caller,
    private readonly check: EpochCheck = TRUSTING_EPOCH_CHECK,
  ) {}

  /** The row, or null with the epoch at which the key did not exist. */
  async get(path: string): Promise<{ row: Row | null; epoch: number }> {
    const floor = this.openFloor();
    const { status, body } = await this.send('GET', `/store/${path}`);
    if (status === 404) return { row: null, epoch: this.accepted(floor, Number(body['Epoch'])) };
    if (status !== 200) throw new StoreError(status);
    // The row's own revision says nothing of the present epoch.
    const row = { path, value: fieldsOf(body['V']), revision: Number(body['Stamp']) };
    return { row, epoch: row.revision };
  }

  /** One page of rows. Its epoch is judged by whoever reads the state anew, also while all else is refused. */
  async list(prefix: string, after: string): Promise<{ rows: Row[]; more: boolean; epoch: number }> {
    const query = `Starts=${prefix}${after === '' ? '' : `&After=${after}`}&Limit=1000`;
    const { status, body } = await this.send('GET', `/store?${query}`, undefined, 4 * SECOND);
    if (status !== 200) throw new StoreError(status);
    const rows = (Array.isArray(body['Rows']) ? body['Rows'] : []).filter(isFields).map((r) => ({
      path: String(r['Path']),
      value: fieldsOf(r['V']),
      revision: Number(r['Stamp']),
    }));
    return { rows, more: body['More'] === true, epoch: Number(body['Epoch']) };
  }

  async commit(guards: Guard[], writes: Write[]): Promise<CommitResult> {
    const body = {
      Guards: guards.map((g) => ({ Path: g.path, Stamp: g.revision })),
      Writes: writes.map((w) =>
        'remove' in w
          ? { Remove: w.remove }
          : { Set: w.set, V: w.value, ...(w.leaseId === undefined ? {} : { Permit: w.leaseId }) },
      ),
    };
    if (!this.check.isOpen()) return { kind: 'not_executed', status: UNAVAILABLE };
    const floor = this.check.floor();
    let reply;
    try {
      reply = await this.send('POST', '/commit', body);
    } catch {
      return { kind: 'unknown' };
    }
    const epoch = Number(reply.body['Epoch']);
    // Otherwise it did not become part of the history that this node knows, whatever became of it.
    const makesEpoch = reply.status === 200 && writes.some((write) => 'set' in write);
    if (makesEpoch && !this.check.acceptsNew(floor, epoch)) return { kind: 'unknown' };
    if (reply.status === 409 && !this.check.accepts(floor, epoch)) return { kind: 'unknown' };
    if (reply.status === 200) return { kind: 'applied', epoch };
    if (reply.status === 409) {
      const failed = Array.isArray(reply.body['failed']) ? reply.body['failed'].map(String) : [];
      return { kind: 'refused', failed, epoch };
    }
    if (reply.status === 400 && reply.body['error'] === 'no such lease') return { kind: 'no_permit' };
    if (reply.status >= 400) return { kind: 'not_executed', status: reply.status };
    return { kind: 'unknown' };
  }

  async createLease(life: Micros): Promise<Count> {
    this.openFloor();
    const { status, body } = await this.send('POST', '/grants', { LifeMs: Math.round(life / MS) });
    if (status !== 200) throw new StoreError(status);
    return body['Permit'] as Count;
  }

  /** False: the grant has ended. */
  async renew(leaseId: Count): Promise<boolean> {
    this.openFloor();
    const { status } = await this.send('POST', `/grants/${leaseId}/renew`);
    if (status === 404) return this.confirmEnd();
    if (status !== 200) throw new StoreError(status);
    return true;
  }

  async revoke(leaseId: Count): Promise<void> {
    await this.send('DELETE', `/grants/${leaseId}`);
  }

  /** Blocks; null when `after` is too old and the keys have to be read again. */
  async follow(
    prefix: string,
    after: number,
    block: Micros,
  ): Promise<{ epoch: number; news: Change[] } | null> {
    const floor = this.openFloor();
    const query = `Starts=${prefix}&After=${after}&BlockMs=${Math.round(block / MS)}`;
    const { status, body } = await this.send('GET', `/follow?${query}`, undefined, block + 4 * SECOND);
    if (status === 410) return null;
    if (status !== 200) throw new StoreError(status);
    const news = (Array.isArray(body['News']) ? body['News'] : [])
      .filter(isFields)
      .map((n) =>
        n['Set'] === undefined || n['Set'] === null
          ? { path: String(n['Remove']), revision: Number(n['Stamp']), value: null }
          : { path: String(n['Set']), revision: Number(n['Stamp']), value: fieldsOf(n['V']) },
      );
    return { epoch: this.accepted(floor, Number(body['Epoch'])), news };
  }

  /**
   * A grant that is gone has ended, or was lost with the rest of the state. What hangs on a lost one is not free: the
   * present epoch tells the two apart.
   */
  private async confirmEnd(): Promise<false> {
    if (this.check !== TRUSTING_EPOCH_CHECK) await this.get(NEVER_WRITTEN);
    return false;
  }

  /** The floor that an answer to a request sent now has to reach; throws while the state service isn't to be asked. */
  private openFloor(): number {
    if (!this.check.isOpen()) throw new StoreError(UNAVAILABLE);
    return this.check.floor();
  }

  private accepted(floor: number, epoch: number): number {
    if (!this.check.accepts(floor, epoch)) throw new StoreError(UNAVAILABLE);
    return epoch;
  }

  private async send(method: Method, path: string, body?: unknown, timeout: Micros = TIMEOUT) {
    try {
      return await this.call(this.endpoint, method, path, body, timeout);
    } catch {
      throw new StoreError(0);
    }
  }
}

function fieldsOf(value: unknown): Fields {
  return isFields(value) ? value : {};
}
