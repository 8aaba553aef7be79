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

const REQUEST_TIMEOUT: Micros = 1500 * MS;
/** The timeout of large answers. A watch may take this long in addition to the time for which it blocks. */
const LONG_TIMEOUT: Micros = 4 * SECOND;
const MAX_ROWS_PER_PAGE = 1000;
/** Also the status of a {@link StoreError} from the revision check, so that callers treat it as an outage. */
const UNAVAILABLE = 503;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
/** A key that is never written. Reading it costs one request and returns the store's current revision. */
export const UNUSED_KEY = 'mw/nothing';

/** Optional parts of a request. */
interface RequestOptions {
  readonly body?: unknown;
  readonly timeout?: Micros;
}

/**
 * The client of the key-value store. A request rejects with a {@link StoreError} if no answer comes or the answer is
 * unexpected. A commit never rejects: its {@link CommitResult} shows the failure.
 */
export class StoreClient {
  constructor(
    private readonly endpoint: string,
    private readonly httpClient: HttpClient,
    private readonly revisionCheck: RevisionCheck = NO_REVISION_CHECK,
  ) {}

  /** Reads one key. */
  async get(path: string): Promise<KeyRead> {
    const minimum = this.requireAllowed();
    const { status, body } = await this.send('GET', `/store/${path}`);
    if (status === NOT_FOUND)
      return { row: null, revision: this.requireAccepted(minimum, decodeRevision(body)) };
    if (status !== OK) throw new StoreError(status);
    // The row's revision may be far below the store's current revision, so the revision check can't apply to it.
    const row = decodeRow(path, body);
    return { row, revision: row.revision };
  }

  /**
   * Reads a page of the rows below a prefix, starting after the key `after` (empty for the first page). The revision
   * check is not applied: a caller that reads the complete state has to check the revisions of the pages.
   */
  async list(prefix: string, after: string): Promise<RowPage> {
    const query = `Starts=${prefix}${after === '' ? '' : `&After=${after}`}&Limit=${MAX_ROWS_PER_PAGE}`;
    const { status, body } = await this.send('GET', `/store?${query}`, { timeout: LONG_TIMEOUT });
    if (status !== OK) throw new StoreError(status);
    return { rows: decodeRows(body), more: body['More'] === true, revision: decodeRevision(body) };
  }

  /** Applies all of the writes if all of the guards hold, otherwise none. Never rejects. */
  async compareAndSwap(guards: readonly Guard[], writes: readonly Write[]): Promise<CommitResult> {
    const body = encodeCommit(guards, writes);
    if (!this.revisionCheck.isOpen()) return { kind: 'not_executed', status: UNAVAILABLE };
    const minimum = this.revisionCheck.minimumRevision();
    let reply: HttpReply;
    try {
      reply = await this.send('POST', '/commit', { body });
    } catch {
      return { kind: 'unknown' };
    }
    return this.passesRevisionCheck(reply, writes, minimum) ? decodeCommitResult(reply) : { kind: 'unknown' };
  }

  /** Creates a lease that expires when it is not renewed for `duration`. Resolves with the id of the lease. */
  async createLease(duration: Micros): Promise<Count> {
    this.requireAllowed();
    const { status, body } = await this.send('POST', '/grants', {
      body: { LifeMs: Math.round(duration / MS) },
    });
    if (status !== OK) throw new StoreError(status);
    return body['Permit'] as Count;
  }

  /** Renews a lease. Resolves with false if the lease has expired. */
  async renewLease(leaseId: Count): Promise<boolean> {
    this.requireAllowed();
    const { status } = await this.send('POST', `/grants/${leaseId}/renew`);
    if (status === NOT_FOUND) return this.confirmExpiry();
    if (status !== OK) throw new StoreError(status);
    return true;
  }

  /** Revokes a lease, which removes its rows. The answer's status is ignored: a lease that isn't revoked expires. */
  async revokeLease(leaseId: Count): Promise<void> {
    await this.send('DELETE', `/grants/${leaseId}`);
  }

  /**
   * Waits, for at most `block`, for changes below a prefix since the revision `after`. Resolves with null if the store
   * no longer has the changes since that revision; the caller then has to read the rows again.
   */
  async watch(prefix: string, after: number, block: Micros): Promise<ChangeBatch | null> {
    const minimum = this.requireAllowed();
    const query = `Starts=${prefix}&After=${after}&BlockMs=${Math.round(block / MS)}`;
    const { status, body } = await this.send('GET', `/follow?${query}`, { timeout: block + LONG_TIMEOUT });
    if (status === GONE) return null;
    if (status !== OK) throw new StoreError(status);
    const changes = decodeChanges(body);
    return { revision: this.requireAccepted(minimum, decodeRevision(body)), changes };
  }

  /** Returns true if the answer to a commit passes the revision check. If not, the result of the commit is unknown. */
  private passesRevisionCheck(
    { status, body }: HttpReply,
    writes: readonly Write[],
    minimum: number,
  ): boolean {
    const revision = decodeRevision(body);
    const createsRevision = status === OK && writes.some((write) => 'set' in write);
    if (createsRevision && !this.revisionCheck.acceptsCommitted(minimum, revision)) return false;
    return status !== CONFLICT || this.revisionCheck.accepts(minimum, revision);
  }

  /**
   * Confirms that a missing lease has expired, and was not lost together with other state. If state was lost, no member
   * may acquire what the lease protected, so the read of the current revision rejects.
   */
  private async confirmExpiry(): Promise<false> {
    if (this.revisionCheck !== NO_REVISION_CHECK) await this.get(UNUSED_KEY);
    return false;
  }

  /** Returns the minimum revision of answers to requests sent now. Throws if the revision check allows no requests. */
  private requireAllowed(): number {
    if (!this.revisionCheck.isOpen()) throw new StoreError(UNAVAILABLE);
    return this.revisionCheck.minimumRevision();
  }

  /** Returns the revision if it passes the revision check, and throws otherwise. */
  private requireAccepted(minimum: number, revision: number): number {
    if (!this.revisionCheck.accepts(minimum, revision)) throw new StoreError(UNAVAILABLE);
    return revision;
  }

  private async send(method: HttpMethod, path: string, options: RequestOptions = {}): Promise<HttpReply> {
    try {
      return await this.httpClient(
        this.endpoint,
        method,
        path,
        options.body,
        options.timeout ?? REQUEST_TIMEOUT,
      );
    } catch (cause) {
      throw new StoreError(0, { cause });
    }
  }
}
