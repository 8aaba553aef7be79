/** Requests to the key-value store. */
import { type HttpClient, type Count, type HttpMethod, type Micros, MS, type HttpReply, SECOND } from '#wire';
import { type RevisionCheck, NO_REVISION_CHECK } from './revision-check.js';
import type { Change, CommitResult, Guard, Row, Write } from './rows.js';
import { StoreError } from './store-error.js';
import {
  decodeChanges,
  decodeCommitResult,
  decodeEpoch,
  decodeRow,
  decodeRows,
  encodeCommit,
} from './wire-format.js';

const TIMEOUT: Micros = 1500 * MS;
/** For answers that are large, beyond the time for which a request blocks. */
const LONG_TIMEOUT: Micros = 4 * SECOND;
const PAGE_ROWS = 1000;
/** What a node that is not to use the state service gets instead of an answer: the same as one that it refuses. */
const UNAVAILABLE = 503;
/** Never written: reading it costs one request and tells the present epoch. */
export const UNUSED_KEY = 'mw/nothing';

/** What a request carries beside its method and path. */
interface RequestOptions {
  readonly body?: unknown;
  readonly timeout?: Micros;
}

/**
 * The key-value store as its clients use it. A request that gets no answer, or another one than it may have, rejects
 * with a {@link StoreError}; commits resolve with what became of them instead.
 */
export class StoreClient {
  constructor(
    private readonly endpoint: string,
    private readonly httpClient: HttpClient,
    private readonly revisionCheck: RevisionCheck = NO_REVISION_CHECK,
  ) {}

  /** The row, or null with the epoch at which the key did not exist. */
  async get(path: string): Promise<{ row: Row | null; epoch: number }> {
    const floor = this.openFloor();
    const { status, body } = await this.send('GET', `/store/${path}`);
    if (status === 404) return { row: null, epoch: this.accepted(floor, decodeEpoch(body)) };
    if (status !== 200) throw new StoreError(status);
    // The row's own revision says nothing of the present epoch.
    const row = decodeRow(path, body);
    return { row, epoch: row.revision };
  }

  /** One page of rows. Its epoch is judged by whoever reads the state anew, also while all else is refused. */
  async list(prefix: string, after: string): Promise<{ rows: Row[]; more: boolean; epoch: number }> {
    const query = `Starts=${prefix}${after === '' ? '' : `&After=${after}`}&Limit=${PAGE_ROWS}`;
    const { status, body } = await this.send('GET', `/store?${query}`, { timeout: LONG_TIMEOUT });
    if (status !== 200) throw new StoreError(status);
    return { rows: decodeRows(body), more: body['More'] === true, epoch: decodeEpoch(body) };
  }

  /** Applies all of the writes if all of the guards hold, or none. Never rejects. */
  async compareAndSwap(guards: Guard[], writes: Write[]): Promise<CommitResult> {
    const body = encodeCommit(guards, writes);
    if (!this.revisionCheck.isOpen()) return { kind: 'not_executed', status: UNAVAILABLE };
    const floor = this.revisionCheck.minimumRevision();
    let reply: HttpReply;
    try {
      reply = await this.send('POST', '/commit', { body });
    } catch {
      return { kind: 'unknown' };
    }
    return this.isOfKnownHistory(reply, writes, floor) ? decodeCommitResult(reply) : { kind: 'unknown' };
  }

  /** Creates a lease that expires when it was not renewed for `life`. */
  async createLease(life: Micros): Promise<Count> {
    this.openFloor();
    const { status, body } = await this.send('POST', '/grants', { body: { LifeMs: Math.round(life / MS) } });
    if (status !== 200) throw new StoreError(status);
    return body['Permit'] as Count;
  }

  /** False: the lease has expired. */
  async renewLease(leaseId: Count): Promise<boolean> {
    this.openFloor();
    const { status } = await this.send('POST', `/grants/${leaseId}/renew`);
    if (status === 404) return this.confirmEnd();
    if (status !== 200) throw new StoreError(status);
    return true;
  }

  /** Ends a lease, and so removes the rows under it. */
  async revokeLease(leaseId: Count): Promise<void> {
    await this.send('DELETE', `/grants/${leaseId}`);
  }

  /** Blocks for `block` at most; null when `after` is too old and the keys have to be read again. */
  async watch(
    prefix: string,
    after: number,
    block: Micros,
  ): Promise<{ epoch: number; news: Change[] } | null> {
    const floor = this.openFloor();
    const query = `Starts=${prefix}&After=${after}&BlockMs=${Math.round(block / MS)}`;
    const { status, body } = await this.send('GET', `/follow?${query}`, { timeout: block + LONG_TIMEOUT });
    if (status === 410) return null;
    if (status !== 200) throw new StoreError(status);
    const news = decodeChanges(body);
    return { epoch: this.accepted(floor, decodeEpoch(body)), news };
  }

  /** Whether the answer to a commit belongs to the history that this node knows; else anything may have become of it. */
  private isOfKnownHistory({ status, body }: HttpReply, writes: readonly Write[], floor: number): boolean {
    const epoch = decodeEpoch(body);
    const makesEpoch = status === 200 && writes.some((write) => 'set' in write);
    if (makesEpoch && !this.revisionCheck.acceptsCommitted(floor, epoch)) return false;
    return status !== 409 || this.revisionCheck.accepts(floor, epoch);
  }

  /**
   * A lease that is gone has expired, or was lost with the rest of the state. What hangs on a lost one is not free: the
   * present epoch tells the two apart.
   */
  private async confirmEnd(): Promise<false> {
    if (this.revisionCheck !== NO_REVISION_CHECK) await this.get(UNUSED_KEY);
    return false;
  }

  /** The floor that an answer to a request sent now has to reach; throws while the state service isn't to be asked. */
  private openFloor(): number {
    if (!this.revisionCheck.isOpen()) throw new StoreError(UNAVAILABLE);
    return this.revisionCheck.minimumRevision();
  }

  private accepted(floor: number, epoch: number): number {
    if (!this.revisionCheck.accepts(floor, epoch)) throw new StoreError(UNAVAILABLE);
    return epoch;
  }

  private async send(method: HttpMethod, path: string, options: RequestOptions = {}): Promise<HttpReply> {
    try {
      return await this.httpClient(this.endpoint, method, path, options.body, options.timeout ?? TIMEOUT);
    } catch (cause) {
      throw new StoreError(0, { cause });
    }
  }
}
