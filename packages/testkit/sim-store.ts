/** A simulated state service: rows with revisions, guarded commits, leases and watches. */
import { type WireFields, isWireFields, jsonBytes, type HttpMethod, type Micros, MS, SECOND } from '#wire';
import type { SimulationClock } from './sim-clock.js';
import type { Handler, SimResponse } from './sim-net.js';

interface Row {
  value: WireFields;
  revision: number;
  leaseId: number | null;
}

/** All that the state service held at one revision. */
export interface StoreBackup {
  rows: ReadonlyMap<string, Row>;
  /** How long each grant lives. */
  leases: ReadonlyMap<number, Micros>;
  /** The latest changes, for watches. */
  recentChanges: readonly StoredChange[];
  revision: number;
}

interface StoredChange {
  path: string;
  value: WireFields | null;
  revision: number;
}

/** Limits of the simulated state service. */
export interface StoreLimits {
  rps: number;
  writeRps: number;
  txnOps: number;
  valueBytes: number;
  /** Rows that one answer to a list request holds at most. */
  pageRows: number;
}

/** Bytes that one answer to a list request holds at most. */
const PAGE_BYTES = 512 * 1024;

interface Watch {
  from: string;
  prefix: string;
  after: number;
  /** When it is answered even without news. */
  until: Micros;
  answer: (response: SimResponse) => void;
}

/** The state service, as its page describes it. */
export class SimStore {
  readonly rows = new Map<string, Row>();
  revision = 0;
  isOut = false;
  /** Requests that came, and those that were over a limit. */
  requestCount = 0;
  refusedRequestCount = 0;
  /** Renewals of grants among them. */
  renewalCount = 0;
  /** Writes that were larger than lowered limits allow. */
  oversizedWriteCount = 0;
  /** Nodes that alone get 503. */
  readonly refusedNodes = new Set<string>();
  /** Share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
  lateCommitRate = 0;
  /** Whether this very transaction gets no answer and is carried out late, too. */
  delaysCommit: (writes: readonly WireFields[]) => boolean = () => false;
  /** Transactions that came to their turn late, and how many of those still changed something. */
  lateCommits = { executed: 0, applied: 0 };
  /** Called with every transaction that is applied, before it is. */
  beforeApply: (guards: WireFields[], writes: WireFields[]) => void = () => undefined;
  /** Called with every transaction that was applied. */
  afterApply: (writes: WireFields[]) => void = () => undefined;
  /** What it shows is not what was committed: see {@link restore}. */
  hasLostData = false;
  private highestRevision = 0;
  private readonly leases = new Map<number, { duration: Micros; until: Micros }>();
  private nextLeaseId = 1;
  private recentChanges: StoredChange[] = [];
  private compactedRevision = 0;
  private watches: Watch[] = [];
  private hasLoweredLimits = false;
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

  /** From now on less is allowed; what is stored stays readable. */
  lowerLimits(limits: Partial<StoreLimits>): void {
    this.limits = { ...this.limits, ...limits };
    this.hasLoweredLimits = true;
  }

  setOutage(on: boolean): void {
    this.isOut = on;
    // After an outage every grant gets its full time again.
    if (!on) for (const lease of this.leases.values()) lease.until = this.clock.time + lease.duration;
    if (!on) this.answerDueWatches();
  }

  readonly handler: Handler = (from, method, path, body) => {
    this.requestCount++;
    if (!this.admit(this.requestBucket, this.limits.rps, 1)) return { status: 429, body: {} };
    if (this.isOut || this.refusedNodes.has(from)) return { status: 503, body: {} };
    if (path === '/commit' && isWireFields(body)) {
      const writes = (body['Writes'] as WireFields[] | undefined) ?? [];
      const isDelayed = this.lateCommitRate > 0 && this.random() < this.lateCommitRate;
      if (isDelayed || this.delaysCommit(writes)) return this.commitLate(body);
    }
    return this.route(from, method, path, body);
  };

  /** Writes a row without asking anybody, as a foreign hand might. */
  writeUnguarded(write: WireFields): void {
    this.revision++;
    const leaseId = typeof write['Permit'] === 'number' ? write['Permit'] : null;
    this.putRow(String(write['Set']), write['V'] as WireFields, leaseId);
    this.answerDueWatches();
  }

  backup(): StoreBackup {
    const leases = new Map([...this.leases].map(([id, { duration }]) => [id, duration]));
    return {
      rows: new Map(this.rows),
      leases,
      recentChanges: [...this.recentChanges],
      revision: this.revision,
    };
  }

  /** Holds what it held at the backup, and knows nothing of what was committed since; grants get their full time. */
  restore({ rows, leases, recentChanges, revision }: StoreBackup): void {
    if (!this.hasLostData) this.highestRevision = this.revision;
    this.hasLostData = revision < this.highestRevision;
    this.rows.clear();
    for (const [path, row] of rows) this.rows.set(path, row);
    this.leases.clear();
    for (const [id, duration] of leases) this.leases.set(id, { duration, until: this.clock.time + duration });
    this.revision = revision;
    this.recentChanges = [...recentChanges];
  }

  /** Loses everything, as one that was set up anew. */
  wipe(): void {
    this.restore({ rows: new Map(), leases: new Map(), recentChanges: [], revision: 0 });
  }

  /** Loses some keys; open watches are told of it, or nobody is. */
  loseKeys(isLost: (path: string) => boolean, notifiesWatches: boolean): string[] {
    const lost = [...this.rows.keys()].filter(isLost);
    if (notifiesWatches) this.revision++;
    for (const path of lost) {
      if (notifiesWatches) this.deleteRow(path);
      else this.rows.delete(path);
    }
    this.answerDueWatches();
    return lost;
  }

  /** Puts lost keys back as they were, under their own revisions. */
  restoreKeys({ rows }: StoreBackup, paths: Iterable<string>): void {
    for (const path of paths) {
      const row = rows.get(path);
      if (row) this.rows.set(path, row);
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
        if (!this.hasLoweredLimits) throw new Error(`value of ${String(write['Set'])} is over the limit`);
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

  private commitLate(body: WireFields): Promise<SimResponse> {
    this.clock.at((2 + this.random() * 10) * SECOND, () => {
      const before = this.revision;
      this.commit(body);
      this.lateCommits.executed++;
      if (this.revision > before) this.lateCommits.applied++;
    });
    return new Promise(() => undefined);
  }

  private putRow(path: string, value: WireFields, leaseId: number | null): void {
    this.rows.set(path, { value, revision: this.revision, leaseId });
    this.recordChange({ path, value, revision: this.revision });
  }

  private deleteRow(path: string): void {
    if (this.rows.delete(path)) this.recordChange({ path, value: null, revision: this.revision });
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
      this.watches.push({ from, prefix, after, until, answer: resolve });
      this.answerDueWatches();
    });
  }

  private answerDueWatches(): void {
    if (this.isOut) return;
    for (const watch of [...this.watches]) {
      // A node that alone is refused waits as all do in an outage, also beyond the time it asked for.
      if (this.refusedNodes.has(watch.from)) continue;
      if (this.clock.time >= watch.until) this.answerWatch(watch);
      else if (this.recentChanges.some((c) => c.revision > watch.after && c.path.startsWith(watch.prefix)))
        this.answerWatch(watch);
    }
  }

  private answerWatch(watch: Watch): void {
    this.watches = this.watches.filter((w) => w !== watch);
    const News = this.recentChanges
      .filter((c) => c.revision > watch.after && c.path.startsWith(watch.prefix))
      .map((c) =>
        c.value ? { Set: c.path, V: c.value, Stamp: c.revision } : { Remove: c.path, Stamp: c.revision },
      );
    watch.answer({ status: 200, body: { Epoch: this.revision, News } });
  }

  private expireLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, r]) => r.leaseId === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.deleteRow(key);
    this.answerDueWatches();
  }

  private sweep(): void {
    if (!this.isOut) {
      for (const [id, lease] of this.leases) if (lease.until < this.clock.time) this.expireLease(id);
    }
    this.answerDueWatches();
    this.clock.at(50 * MS, () => {
      this.sweep();
    });
  }

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
