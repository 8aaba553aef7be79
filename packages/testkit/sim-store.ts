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
  history: readonly StoredChange[];
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
  answer: (served: SimResponse) => void;
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
  isLate: (writes: readonly WireFields[]) => boolean = () => false;
  /** Transactions that came to their turn late, and how many of those still changed something. */
  lateCommits = { came: 0, applied: 0 };
  /** Called with every transaction that is applied, before it is. */
  beforeApply: (guards: WireFields[], writes: WireFields[]) => void = () => undefined;
  /** Called with every transaction that was applied. */
  afterApply: (writes: WireFields[]) => void = () => undefined;
  /** What it shows is not what was committed: see {@link restore}. */
  hasLostData = false;
  private newest = 0;
  private readonly leases = new Map<number, { life: Micros; until: Micros }>();
  private nextLeaseId = 1;
  private history: StoredChange[] = [];
  private forgotten = 0;
  private watches: Watch[] = [];
  private areLowered = false;
  private requests = { tokens: 0, at: 0 };
  private changes = { tokens: 0, at: 0 };

  constructor(
    private readonly clock: SimulationClock,
    private readonly random: () => number,
    private limits: StoreLimits,
  ) {
    this.requests.tokens = limits.rps;
    this.changes.tokens = limits.writeRps;
    this.sweep();
  }

  /** From now on less is allowed; what is stored stays readable. */
  lowerLimits(limits: Partial<StoreLimits>): void {
    this.limits = { ...this.limits, ...limits };
    this.areLowered = true;
  }

  setOutage(on: boolean): void {
    this.isOut = on;
    // After an outage every grant gets its full time again.
    if (!on) for (const g of this.leases.values()) g.until = this.clock.time + g.life;
    if (!on) this.wakeWatches();
  }

  readonly handler: Handler = (from, method, path, body) => {
    this.requestCount++;
    if (!this.admit(this.requests, this.limits.rps, 1)) return { status: 429, body: {} };
    if (this.isOut || this.refusedNodes.has(from)) return { status: 503, body: {} };
    if (path === '/commit' && isWireFields(body)) {
      const writes = (body['Writes'] as WireFields[] | undefined) ?? [];
      const isUnlucky = this.lateCommitRate > 0 && this.random() < this.lateCommitRate;
      if (isUnlucky || this.isLate(writes)) return this.commitLate(body);
    }
    return this.route(from, method, path, body);
  };

  /** Writes a row without asking anybody, as a foreign hand might. */
  spoil(write: WireFields): void {
    this.revision++;
    const leaseId = typeof write['Permit'] === 'number' ? write['Permit'] : null;
    this.put(String(write['Set']), write['V'] as WireFields, leaseId);
    this.wakeWatches();
  }

  backup(): StoreBackup {
    const grants = new Map([...this.leases].map(([id, { life }]) => [id, life]));
    return { rows: new Map(this.rows), leases: grants, history: [...this.history], revision: this.revision };
  }

  /** Holds what it held at the backup, and knows nothing of what was committed since; grants get their full time. */
  restore({ rows, leases: grants, history, revision }: StoreBackup): void {
    if (!this.hasLostData) this.newest = this.revision;
    this.hasLostData = revision < this.newest;
    this.rows.clear();
    for (const [path, row] of rows) this.rows.set(path, row);
    this.leases.clear();
    for (const [id, life] of grants) this.leases.set(id, { life, until: this.clock.time + life });
    this.revision = revision;
    this.history = [...history];
  }

  /** Loses everything, as one that was set up anew. */
  wipe(): void {
    this.restore({ rows: new Map(), leases: new Map(), history: [], revision: 0 });
  }

  /** Loses some keys; open watches are told of it, or nobody is. */
  loseKeys(isLost: (path: string) => boolean, isTold: boolean): string[] {
    const lost = [...this.rows.keys()].filter(isLost);
    if (isTold) this.revision++;
    for (const path of lost) {
      if (isTold) this.drop(path);
      else this.rows.delete(path);
    }
    this.wakeWatches();
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
    if (method === 'GET' && url.pathname === '/store') return this.list(url.searchParams);
    if (method === 'GET' && url.pathname === '/follow') return this.follow(from, url.searchParams);
    if (method === 'GET' && url.pathname.startsWith('/store/')) return this.get(url.pathname.slice(7));
    if (method === 'POST' && url.pathname === '/commit') return this.commit(fields);
    if (method === 'POST' && url.pathname === '/grants') {
      const life = Number(fields['LifeMs']) * MS;
      const id = this.nextLeaseId++;
      this.leases.set(id, { life, until: this.clock.time + life });
      return { status: 200, body: { Permit: id } };
    }
    const handleLease = /^\/grants\/(\d+)(\/renew)?$/.exec(url.pathname);
    if (handleLease) return this.grant(Number(handleLease[1]), method);
    return { status: 400, body: {} };
  }

  private grant(id: number, method: HttpMethod): SimResponse {
    const grant = this.leases.get(id);
    if (!grant) return { status: 404, body: {} };
    if (method === 'DELETE') this.expire(id);
    else {
      this.renewalCount++;
      grant.until = this.clock.time + grant.life;
    }
    return { status: 200, body: {} };
  }

  private get(key: string): SimResponse {
    const row = this.rows.get(key);
    if (!row) return { status: 404, body: { Epoch: this.revision } };
    return { status: 200, body: { Path: key, V: row.value, Stamp: row.revision, Permit: row.leaseId } };
  }

  private list(query: URLSearchParams): SimResponse {
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
      return this.tooManyWrites();
    if (!this.admit(this.changes, this.limits.writeRps, writes.length)) return { status: 429, body: {} };
    for (const w of writes) {
      if (w['Set'] === undefined) continue;
      if (jsonBytes(w['V']) > this.limits.valueBytes) {
        if (!this.areLowered) throw new Error(`value of ${String(w['Set'])} is over the limit`);
        this.oversizedWriteCount++;
        return { status: 400, body: {} };
      }
      const leaseId = w['Permit'];
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
      for (const w of writes) {
        if (w['Set'] !== undefined) {
          const leaseId = w['Permit'];
          this.put(
            String(w['Set']),
            w['V'] as WireFields,
            leaseId === undefined || leaseId === null ? null : Number(leaseId),
          );
        } else this.drop(String(w['Remove']));
      }
      this.afterApply(writes);
      this.wakeWatches();
    }
    return { status: 200, body: { Epoch: this.revision } };
  }

  private tooManyWrites(): SimResponse {
    this.oversizedWriteCount++;
    return { status: 400, body: {} };
  }

  private commitLate(body: WireFields): Promise<SimResponse> {
    this.clock.at((2 + this.random() * 10) * SECOND, () => {
      const before = this.revision;
      this.commit(body);
      this.lateCommits.came++;
      if (this.revision > before) this.lateCommits.applied++;
    });
    return new Promise(() => undefined);
  }

  private put(path: string, value: WireFields, leaseId: number | null): void {
    this.rows.set(path, { value, revision: this.revision, leaseId });
    this.remember({ path, value, revision: this.revision });
  }

  private drop(path: string): void {
    if (this.rows.delete(path)) this.remember({ path, value: null, revision: this.revision });
  }

  private remember(change: StoredChange): void {
    this.history.push(change);
    if (this.history.length > 10_000) this.forgotten = this.history.shift()?.revision ?? this.forgotten;
  }

  private follow(from: string, query: URLSearchParams): Promise<SimResponse> | SimResponse {
    const after = Number(query.get('After'));
    const prefix = query.get('Starts') ?? '';
    if (after < this.forgotten) return { status: 410, body: {} };
    return new Promise((resolve) => {
      const until = this.clock.time + Number(query.get('BlockMs') ?? 0) * MS;
      this.watches.push({ from, prefix, after, until, answer: resolve });
      this.wakeWatches();
    });
  }

  private wakeWatches(): void {
    if (this.isOut) return;
    for (const w of [...this.watches]) {
      // A node that alone is refused waits as all do in an outage, also beyond the time it asked for.
      if (this.refusedNodes.has(w.from)) continue;
      if (this.clock.time >= w.until) this.reply(w);
      else if (this.history.some((c) => c.revision > w.after && c.path.startsWith(w.prefix))) this.reply(w);
    }
  }

  private reply(watch: Watch): void {
    this.watches = this.watches.filter((w) => w !== watch);
    const News = this.history
      .filter((c) => c.revision > watch.after && c.path.startsWith(watch.prefix))
      .map((c) =>
        c.value ? { Set: c.path, V: c.value, Stamp: c.revision } : { Remove: c.path, Stamp: c.revision },
      );
    watch.answer({ status: 200, body: { Epoch: this.revision, News } });
  }

  private expire(id: number): void {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, r]) => r.leaseId === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.drop(key);
    this.wakeWatches();
  }

  private sweep(): void {
    if (!this.isOut) {
      for (const [id, g] of this.leases) if (g.until < this.clock.time) this.expire(id);
    }
    this.wakeWatches();
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
