/** A simulated state service: rows with revisions, compare-and-swap transactions, leases and watches. */
import { type WireFields, isWireFields, jsonBytes, type HttpMethod, type Micros, MS, SECOND } from '#wire';
import type { SimulationClock } from './sim-clock.js';
import type { Handler, SimResponse } from './sim-net.js';

interface Row {
  value: WireFields;
  revision: number;
  leaseId: number | null;
}

/** A copy of all data of the state service at one revision. */
export interface StoreBackup {
  rows: ReadonlyMap<string, Row>;
  /** Duration of each lease. Keyed by lease id. */
  leases: ReadonlyMap<number, Micros>;
  /** The latest changes, from which watches are answered. */
  recentChanges: readonly StoredChange[];
  revision: number;
}

interface StoredChange {
  key: string;
  value: WireFields | null;
  revision: number;
}

/** Limits of the simulated state service. */
export interface StoreLimits {
  /** Requests per second. */
  rps: number;
  /** Written rows per second. */
  writeRps: number;
  /** Most writes in one transaction. */
  txnOps: number;
  /** Most bytes of one value. */
  valueBytes: number;
  /** Most rows in one response to a list request. */
  pageRows: number;
}

/** Most bytes of rows in one response to a list request, unless its first row alone is larger. */
const PAGE_BYTES = 512 * 1024;

/** An open watch request. */
interface Watch {
  /** The party that sent it. */
  from: string;
  prefix: string;
  /** The watch reports changes after this revision. */
  after: number;
  /** Time at which the watch is answered even if nothing has changed. */
  until: Micros;
  respond: (response: SimResponse) => void;
}

/** The state service, as its specification describes it. */
export class SimStore {
  /** All rows. Keyed by the key of the row. */
  readonly rows = new Map<string, Row>();
  /** Revision of the latest change. */
  revision = 0;
  /** True during an outage: every request is answered with 503, and no lease expires. */
  isUnavailable = false;
  /** Number of requests received. */
  requestCount = 0;
  /** Number of requests refused because they exceeded a rate limit. */
  refusedRequestCount = 0;
  /** Number of lease renewals. */
  renewalCount = 0;
  /** Number of transactions refused because their size exceeded a limit. */
  oversizedWriteCount = 0;
  /** Nodes whose requests are answered with 503 while all others are served. */
  readonly refusedNodes = new Set<string>();
  /** Share of transactions that get no response and are executed 2 to 12 s later, after newer ones. */
  lateCommitRate = 0;
  /** Returns true for a further transaction that gets no response and is executed late. */
  delaysCommit: (writes: readonly WireFields[]) => boolean = () => false;
  /** Number of transactions executed late, and how many of them still changed something. */
  lateCommits = { executed: 0, applied: 0 };
  /** Called with the guards and writes of each transaction whose guards hold, before its writes are applied. */
  beforeApply: (guards: WireFields[], writes: WireFields[]) => void = () => undefined;
  /** Called with the writes of each transaction after they are applied. */
  afterApply: (writes: WireFields[]) => void = () => undefined;
  /** True while committed data is missing because an older backup was restored. */
  hasLostData = false;
  /** The highest revision before data was lost. */
  private highestRevision = 0;
  private readonly leases = new Map<number, { duration: Micros; until: Micros }>();
  private nextLeaseId = 1;
  private recentChanges: StoredChange[] = [];
  /** Watches that start before this revision are answered with 410: their changes are no longer kept. */
  private compactedRevision = 0;
  private watches: Watch[] = [];
  private hasLoweredLimits = false;
  /** Token buckets of the rate limits. */
  private requestBucket = { tokens: 0, at: 0 };
  private writeBucket = { tokens: 0, at: 0 };

  constructor(
    private readonly clock: SimulationClock,
    private readonly random: () => number,
    private limits: StoreLimits,
  ) {
    this.requestBucket.tokens = limits.rps;
    this.writeBucket.tokens = limits.writeRps;
    this.sweep();
  }

  /** Lowers limits at run time. Larger values that are already stored stay readable. */
  lowerLimits(limits: Partial<StoreLimits>): void {
    this.limits = { ...this.limits, ...limits };
    this.hasLoweredLimits = true;
  }

  /** Starts or ends an outage. */
  setOutage(isOutage: boolean): void {
    this.isUnavailable = isOutage;
    // After an outage every lease gets its full duration again.
    if (!isOutage) for (const lease of this.leases.values()) lease.until = this.clock.time + lease.duration;
    if (!isOutage) this.answerDueWatches();
  }

  /** Handles a request to the state service. */
  readonly handler: Handler = (from, method, path, body) => {
    this.requestCount++;
    if (!this.admit(this.requestBucket, this.limits.rps, 1)) return { status: 429, body: {} };
    if (this.isUnavailable || this.refusedNodes.has(from)) return { status: 503, body: {} };
    if (path === '/commit' && isWireFields(body)) {
      const writes = (body['Writes'] as WireFields[] | undefined) ?? [];
      const isDelayed = this.lateCommitRate > 0 && this.random() < this.lateCommitRate;
      if (isDelayed || this.delaysCommit(writes)) return this.commitLate(body);
    }
    return this.route(from, method, path, body);
  };

  /** Writes a row without any guard or limit, as a program other than the controllers might. */
  writeUnguarded(write: WireFields): void {
    this.revision++;
    const leaseId = typeof write['Permit'] === 'number' ? write['Permit'] : null;
    this.putRow(String(write['Set']), write['V'] as WireFields, leaseId);
    this.answerDueWatches();
  }

  /** Returns a copy of all data. */
  backup(): StoreBackup {
    const leases = new Map([...this.leases].map(([id, { duration }]) => [id, duration]));
    return {
      rows: new Map(this.rows),
      leases,
      recentChanges: [...this.recentChanges],
      revision: this.revision,
    };
  }

  /** Replaces all data by a backup, so that later commits are lost. Leases get their full duration again. */
  restore({ rows, leases, recentChanges, revision }: StoreBackup): void {
    if (!this.hasLostData) this.highestRevision = this.revision;
    this.hasLostData = revision < this.highestRevision;
    this.rows.clear();
    for (const [key, row] of rows) this.rows.set(key, row);
    this.leases.clear();
    for (const [id, duration] of leases) this.leases.set(id, { duration, until: this.clock.time + duration });
    this.revision = revision;
    this.recentChanges = [...recentChanges];
  }

  /** Loses all data and starts again at revision 0, as a new installation does. */
  wipe(): void {
    this.restore({ rows: new Map(), leases: new Map(), recentChanges: [], revision: 0 });
  }

  /** Loses the rows for which `isLost` holds and returns their keys; notifies watches only if `notifiesWatches`. */
  loseKeys(isLost: (key: string) => boolean, notifiesWatches: boolean): string[] {
    const lost = [...this.rows.keys()].filter(isLost);
    if (notifiesWatches) this.revision++;
    for (const key of lost) {
      if (notifiesWatches) this.deleteRow(key);
      else this.rows.delete(key);
    }
    this.answerDueWatches();
    return lost;
  }

  /** Restores lost rows from a backup, with the revisions that they had. */
  restoreKeys({ rows }: StoreBackup, keys: Iterable<string>): void {
    for (const key of keys) {
      const row = rows.get(key);
      if (row) this.rows.set(key, row);
    }
  }

  private route(
    from: string,
    method: HttpMethod,
    path: string,
    body: unknown,
  ): SimResponse | Promise<SimResponse> {
    const url = new URL(path, 'http://state');
    const fields = isWireFields(body) ? body : {};
    if (method === 'GET' && url.pathname === '/store') return this.listRows(url.searchParams);
    if (method === 'GET' && url.pathname === '/follow') return this.openWatch(from, url.searchParams);
    if (method === 'GET' && url.pathname.startsWith('/store/')) return this.getRow(url.pathname.slice(7));
    if (method === 'POST' && url.pathname === '/commit') return this.commit(fields);
    if (method === 'POST' && url.pathname === '/grants') {
      const duration = Number(fields['LifeMs']) * MS;
      const id = this.nextLeaseId++;
      this.leases.set(id, { duration, until: this.clock.time + duration });
      return { status: 200, body: { Permit: id } };
    }
    const leaseMatch = /^\/grants\/(\d+)(\/renew)?$/.exec(url.pathname);
    if (leaseMatch) return this.handleLease(Number(leaseMatch[1]), method);
    return { status: 400, body: {} };
  }

  private handleLease(id: number, method: HttpMethod): SimResponse {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.expireLease(id);
    else {
      this.renewalCount++;
      lease.until = this.clock.time + lease.duration;
    }
    return { status: 200, body: {} };
  }

  private getRow(key: string): SimResponse {
    const row = this.rows.get(key);
    if (!row) return { status: 404, body: { Epoch: this.revision } };
    return { status: 200, body: { Path: key, V: row.value, Stamp: row.revision, Permit: row.leaseId } };
  }

  private listRows(query: URLSearchParams): SimResponse {
    const prefix = query.get('Starts') ?? '';
    const after = query.get('After') ?? '';
    const limit = Math.min(this.limits.pageRows, Number(query.get('Limit') ?? this.limits.pageRows));
    const keys = [...this.rows.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    const Rows: WireFields[] = [];
    let bytes = 0;
    for (const key of keys.slice(0, limit)) {
      const row = this.rows.get(key) as Row;
      bytes += key.length + jsonBytes(row.value);
      if (Rows.length > 0 && bytes > PAGE_BYTES) break;
      Rows.push({ Path: key, V: row.value, Stamp: row.revision });
    }
    return { status: 200, body: { Rows, More: keys.length > Rows.length, Epoch: this.revision } };
  }

  private commit(body: WireFields): SimResponse {
    const guards = (body['Guards'] as WireFields[] | undefined) ?? [];
    const writes = (body['Writes'] as WireFields[] | undefined) ?? [];
    if (writes.length > this.limits.txnOps || guards.length > 4 * this.limits.txnOps)
      return this.refuseOversizedCommit();
    if (!this.admit(this.writeBucket, this.limits.writeRps, writes.length)) return { status: 429, body: {} };
    for (const write of writes) {
      if (write['Set'] === undefined) continue;
      if (jsonBytes(write['V']) > this.limits.valueBytes) {
        if (!this.hasLoweredLimits)
          throw new Error(`value of row ${String(write['Set'])} exceeds ${this.limits.valueBytes} bytes`);
        this.oversizedWriteCount++;
        return { status: 400, body: {} };
      }
      const leaseId = write['Permit'];
      if (leaseId !== undefined && leaseId !== null && !this.leases.has(Number(leaseId))) {
        return { status: 400, body: { error: 'no such lease' } };
      }
    }
    const failed = guards
      .filter((g) => (this.rows.get(String(g['Path']))?.revision ?? 0) !== Number(g['Stamp']))
      .map((g) => g['Path']);
    if (failed.length > 0) return { status: 409, body: { failed, Epoch: this.revision } };
    this.beforeApply(guards, writes);
    if (writes.length > 0) {
      this.revision++;
      for (const write of writes) {
        if (write['Set'] !== undefined) {
          const leaseId = write['Permit'];
          this.putRow(
            String(write['Set']),
            write['V'] as WireFields,
            leaseId === undefined || leaseId === null ? null : Number(leaseId),
          );
        } else this.deleteRow(String(write['Remove']));
      }
      this.afterApply(writes);
      this.answerDueWatches();
    }
    return { status: 200, body: { Epoch: this.revision } };
  }

  private refuseOversizedCommit(): SimResponse {
    this.oversizedWriteCount++;
    return { status: 400, body: {} };
  }

  /** Executes a transaction 2 to 12 s later; its sender gets no response. */
  private commitLate(body: WireFields): Promise<SimResponse> {
    this.clock.at((2 + this.random() * 10) * SECOND, () => {
      const before = this.revision;
      this.commit(body);
      this.lateCommits.executed++;
      if (this.revision > before) this.lateCommits.applied++;
    });
    return new Promise(() => undefined);
  }

  private putRow(key: string, value: WireFields, leaseId: number | null): void {
    this.rows.set(key, { value, revision: this.revision, leaseId });
    this.recordChange({ key, value, revision: this.revision });
  }

  private deleteRow(key: string): void {
    if (this.rows.delete(key)) this.recordChange({ key, value: null, revision: this.revision });
  }

  private recordChange(change: StoredChange): void {
    this.recentChanges.push(change);
    if (this.recentChanges.length > 10_000)
      this.compactedRevision = this.recentChanges.shift()?.revision ?? this.compactedRevision;
  }

  private openWatch(from: string, query: URLSearchParams): Promise<SimResponse> | SimResponse {
    const after = Number(query.get('After'));
    const prefix = query.get('Starts') ?? '';
    if (after < this.compactedRevision) return { status: 410, body: {} };
    return new Promise((resolve) => {
      const until = this.clock.time + Number(query.get('BlockMs') ?? 0) * MS;
      this.watches.push({ from, prefix, after, until, respond: resolve });
      this.answerDueWatches();
    });
  }

  /** Answers the watches for which there is a change, or whose time is over. */
  private answerDueWatches(): void {
    if (this.isUnavailable) return;
    for (const watch of [...this.watches]) {
      // A watch of a refused node stays open as in an outage, even beyond the timeout that the node requested.
      if (this.refusedNodes.has(watch.from)) continue;
      if (this.clock.time >= watch.until) this.answerWatch(watch);
      else if (this.recentChanges.some((c) => c.revision > watch.after && c.key.startsWith(watch.prefix)))
        this.answerWatch(watch);
    }
  }

  private answerWatch(watch: Watch): void {
    this.watches = this.watches.filter((w) => w !== watch);
    const News = this.recentChanges
      .filter((c) => c.revision > watch.after && c.key.startsWith(watch.prefix))
      .map((c) =>
        c.value ? { Set: c.key, V: c.value, Stamp: c.revision } : { Remove: c.key, Stamp: c.revision },
      );
    watch.respond({ status: 200, body: { Epoch: this.revision, News } });
  }

  private expireLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, r]) => r.leaseId === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.deleteRow(key);
    this.answerDueWatches();
  }

  /** Expires leases and answers watches, every 50 ms. */
  private sweep(): void {
    if (!this.isUnavailable) {
      for (const [id, lease] of this.leases) if (lease.until < this.clock.time) this.expireLease(id);
    }
    this.answerDueWatches();
    this.clock.at(50 * MS, () => {
      this.sweep();
    });
  }

  /** Takes tokens from a rate limit's bucket; returns false if it holds too few. */
  private admit(bucket: { tokens: number; at: Micros }, rate: number, cost: number): boolean {
    bucket.tokens = Math.min(rate, bucket.tokens + ((this.clock.time - bucket.at) * rate) / SECOND);
    bucket.at = this.clock.time;
    if (bucket.tokens < cost) {
      this.refusedRequestCount++;
      return false;
    }
    bucket.tokens -= cost;
    return true;
  }
}
