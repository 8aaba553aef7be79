/** The client of the key-value store. */
import { type HttpClient, type Count, type HttpMethod, type Micros, MS, type HttpReply, SECOND } from '#wire';
import { type RevisionCheck, NO_REVISION_CHECK } from './revision-check.js';
import type { ChangeBatch, CommitResult, Guard, KeyRead, RowPage, Write } from './rows.js';
import { StoreError } from './store-error.js';
import {
  decodeChanges,
  decodeCommitResult,
  decodeRevision,
  decodeRow,
  decodeRows,
  encodeCommit,
} from './wire-format.js';

const TIMEOUT: Micros = 1500 * MS;
/** For large answers; a watch may take this long beyond the time for which it blocks. */
const LONG_TIMEOUT: Micros = 4 * SECOND;
const PAGE_ROWS = 1000;
/** Also the status of a {@link StoreError} for a request that the revision check doesn't allow: callers treat it as an outage. */
const UNAVAILABLE = 503;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
/** A key that is never written: reading it costs one request and returns the present revision. */
export const UNUSED_KEY = 'mw/nothing';

/** What a request carries beside its method and path. */
interface RequestOptions {
  readonly body?: unknown;
  readonly timeout?: Micros;
}

/**
 * The client of the key-value store. A request without an answer, or with an unexpected one, rejects with a
 * {@link StoreError}; commits resolve with a {@link CommitResult} instead.
 */
export class StoreClient {
  constructor(
    private readonly endpoint: string,
    private readonly httpClient: HttpClient,
    private readonly revisionCheck: RevisionCheck = NO_REVISION_CHECK,
  ) {}

  /** Reads one key. */
  async get(path: string): Promise<KeyRead> {
    const floor = this.requireOpen();
    const { status, body } = await this.send('GET', `/store/${path}`);
    if (status === NOT_FOUND)
      return { row: null, revision: this.requireAccepted(floor, decodeRevision(body)) };
    if (status !== OK) throw new StoreError(status);
    // The row's own revision says nothing of the store's present revision.
    const row = decodeRow(path, body);
    return { row, revision: row.revision };
  }

  /**
   * Reads a page of the rows below a prefix, from the first key after `after` (empty: from the start). The
   * revision check doesn't guard it: whoever reads the complete state has to check the revisions of its pages.
   */
  async list(prefix: string, after: string): Promise<RowPage> {
    const query = `Starts=${prefix}${after === '' ? '' : `&After=${after}`}&Limit=${PAGE_ROWS}`;
    const { status, body } = await this.send('GET', `/store?${query}`, { timeout: LONG_TIMEOUT });
    if (status !== OK) throw new StoreError(status);
    return { rows: decodeRows(body), more: body['More'] === true, revision: decodeRevision(body) };
  }

  /** Applies all of the writes if all of the guards hold, or none. Never rejects. */
  async compareAndSwap(guards: readonly Guard[], writes: readonly Write[]): Promise<CommitResult> {
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

  /** Creates a lease that expires when it was not renewed for `life`; resolves with its id. */
  async createLease(life: Micros): Promise<Count> {
    this.requireOpen();
    const { status, body } = await this.send('POST', '/grants', { body: { LifeMs: Math.round(life / MS) } });
    if (status !== OK) throw new StoreError(status);
    return body['Permit'] as Count;
  }

  /** Resolves with false if the lease has expired. */
  async renewLease(leaseId: Count): Promise<boolean> {
    this.requireOpen();
    const { status } = await this.send('POST', `/grants/${leaseId}/renew`);
    if (status === NOT_FOUND) return this.confirmExpiry();
    if (status !== OK) throw new StoreError(status);
    return true;
  }

  /** Ends a lease, which removes the rows under it. Any answer will do: a lease that isn't ended expires. */
  async revokeLease(leaseId: Count): Promise<void> {
    await this.send('DELETE', `/grants/${leaseId}`);
  }

  /**
   * Waits, for `block` at most, for changes below a prefix since the revision `after`. Null if that is too old: the keys have
   * to be read again.
   */
  async watch(prefix: string, after: number, block: Micros): Promise<ChangeBatch | null> {
    const floor = this.requireOpen();
    const query = `Starts=${prefix}&After=${after}&BlockMs=${Math.round(block / MS)}`;
    const { status, body } = await this.send('GET', `/follow?${query}`, { timeout: block + LONG_TIMEOUT });
    if (status === GONE) return null;
    if (status !== OK) throw new StoreError(status);
    const changes = decodeChanges(body);
    return { revision: this.requireAccepted(floor, decodeRevision(body)), changes };
  }

  /** Whether the answer to a commit belongs to the history that this node knows; if not, the result is unknown. */
  private isOfKnownHistory({ status, body }: HttpReply, writes: readonly Write[], floor: number): boolean {
    const revision = decodeRevision(body);
    const createsRevision = status === OK && writes.some((write) => 'set' in write);
    if (createsRevision && !this.revisionCheck.acceptsCommitted(floor, revision)) return false;
    return status !== CONFLICT || this.revisionCheck.accepts(floor, revision);
  }

  /**
   * A lease that doesn't exist has expired, or was lost with the rest of the state. In the latter case others may not take
   * over what it protected: a read of the present revision rejects then.
   */
  private async confirmExpiry(): Promise<false> {
    if (this.revisionCheck !== NO_REVISION_CHECK) await this.get(UNUSED_KEY);
    return false;
  }

  /** The lowest revision that the answer to a request sent now may show; throws while the revision check is closed. */
  private requireOpen(): number {
    if (!this.revisionCheck.isOpen()) throw new StoreError(UNAVAILABLE);
    return this.revisionCheck.minimumRevision();
  }

  /** Returns the revision if it passes the revision check, else throws. */
  private requireAccepted(floor: number, revision: number): number {
    if (!this.revisionCheck.accepts(floor, revision)) throw new StoreError(UNAVAILABLE);
    return revision;
  }

  private async send(method: HttpMethod, path: string, options: RequestOptions = {}): Promise<HttpReply> {
    try {
      return await this.httpClient(this.endpoint, method, path, options.body, options.timeout ?? TIMEOUT);
    } catch (cause) {
      throw new StoreError(0, { cause });
    }
  }
}
