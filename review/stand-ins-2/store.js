/** A stand-in for the state service, after the section "Controller nodes -> state service". */
import { pause, serve } from './http.js';

const HISTORY = 10_000;

export class Store {
  rows = new Map();
  revision = 0;
  grants = new Map();
  nextGrant = 1;
  history = [];
  forgottenUpTo = 0;
  watches = new Set();
  /** True during an outage. */
  isOut = false;
  /** Members that alone get 503. */
  refused = new Set();
  buckets = { rps: { tokens: 0, at: 0 }, write_rps: { tokens: 0, at: 0 } };
  counts = { requests: 0, limited: 0, tooLarge: 0 };
  /** Hook: (member, method, path, body) => undefined | 'silent' | {lateMs}; asked before a request is executed. */
  fault = () => undefined;
  /** Hook: called with the writes of each applied transaction. */
  onApplied = () => undefined;

  constructor({ limits, latencyMs = 3, record = () => undefined }) {
    Object.assign(this, { limits, latencyMs, record });
    this.timer = setInterval(() => this.sweep(), 20);
  }

  /** Opens an address of its own for each controller, so that one of them alone can be refused. */
  async open(members) {
    this.servers = new Map();
    for (const member of members) {
      this.servers.set(member, await serve((method, url, body) => this.handle(member, method, url, body)));
    }
  }

  address(member) {
    return this.servers.get(member).address;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers.values()) server.close();
  }

  async handle(member, method, url, body) {
    await pause(this.latencyMs * (0.5 + Math.random()));
    const fault = this.fault(member, method, url.pathname, body);
    if (fault === 'silent') return 'silent';
    if (fault?.lateMs !== undefined) {
      setTimeout(() => this.execute(member, method, url, body), fault.lateMs);
      return 'silent';
    }
    const reply = await this.execute(member, method, url, body);
    return fault?.dropAnswer === true ? 'silent' : reply;
  }

  admit(name, cost) {
    const bucket = this.buckets[name];
    const rate = this.limits[name];
    const now = performance.now();
    bucket.tokens = Math.min(rate, bucket.tokens + ((now - bucket.at) / 1000) * rate);
    bucket.at = now;
    if (bucket.tokens < cost) {
      this.counts.limited++;
      return false;
    }
    bucket.tokens -= cost;
    return true;
  }

  execute(member, method, url, body) {
    this.counts.requests++;
    if (this.isOut || this.refused.has(member)) return { status: 503 };
    if (!this.admit('rps', 1)) return { status: 429 };
    const path = url.pathname;
    if (path === '/follow') return this.follow(member, url.searchParams);
    if (path === '/store') return this.list(url.searchParams);
    if (path.startsWith('/store/')) return this.read(path.slice('/store/'.length));
    if (path === '/commit' && method === 'POST') return this.commit(body ?? {});
    if (path === '/grants' && method === 'POST') {
      const life = Number(body.LifeMs);
      const id = this.nextGrant++;
      this.grants.set(id, { life, until: performance.now() + life });
      return { status: 200, body: { Permit: id } };
    }
    const match = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    if (!match) return { status: 400 };
    const id = Number(match[1]);
    const grant = this.grants.get(id);
    if (!grant) return { status: 404 };
    if (method === 'DELETE') this.endGrant(id);
    else grant.until = performance.now() + grant.life;
    return { status: 200, body: {} };
  }

  read(key) {
    const row = this.rows.get(key);
    if (!row) return { status: 404, body: { Epoch: this.revision } };
    return { status: 200, body: { Path: key, V: row.V, Stamp: row.Stamp, Permit: row.Permit } };
  }

  list(query) {
    const starts = query.get('Starts') ?? '';
    const after = query.get('After') ?? '';
    const limit = Math.min(1000, Number(query.get('Limit') ?? 1000));
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(starts) && key > after).sort();
    const Rows = [];
    let bytes = 0;
    for (const key of keys.slice(0, limit)) {
      const row = this.rows.get(key);
      bytes += key.length + JSON.stringify(row.V).length + 40;
      if (Rows.length > 0 && bytes > 512 * 1024) break;
      Rows.push({ Path: key, V: row.V, Stamp: row.Stamp });
    }
    return { status: 200, body: { Rows, More: keys.length > Rows.length, Epoch: this.revision } };
  }

  commit(body) {
    const guards = body.Guards ?? [];
    const writes = body.Writes ?? [];
    const { txn_ops, value_kb } = this.limits;
    const isTooLarge =
      writes.length > txn_ops ||
      guards.length > 4 * txn_ops ||
      JSON.stringify(body).length > 64 * 1024 ||
      writes.some((write) => write.Set && JSON.stringify(write.V).length > value_kb * 1024);
    if (isTooLarge) {
      this.counts.tooLarge++;
      return { status: 400, body: { error: 'too large' } };
    }
    if (!this.admit('write_rps', writes.length)) return { status: 429 };
    for (const write of writes) {
      if (write.Set && (write.Permit ?? null) !== null && !this.grants.has(Number(write.Permit)))
        return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = guards
      .filter(({ Path, Stamp }) => (this.rows.get(Path)?.Stamp ?? 0) !== Number(Stamp))
      .map(({ Path }) => Path);
    if (failed.length > 0) return { status: 409, body: { failed, Epoch: this.revision } };
    if (writes.length > 0) {
      this.revision++;
      for (const write of writes) {
        if (write.Set) {
          const Permit = (write.Permit ?? null) === null ? null : Number(write.Permit);
          this.rows.set(write.Set, { V: write.V, Stamp: this.revision, Permit });
          this.history.push({ Set: write.Set, V: write.V, Stamp: this.revision });
        } else if (this.rows.delete(write.Remove)) {
          this.history.push({ Remove: write.Remove, Stamp: this.revision });
        }
      }
      this.onApplied(writes, this.revision);
      this.answerWatches();
    }
    return { status: 200, body: { Epoch: this.revision } };
  }

  follow(member, query) {
    const after = Number(query.get('After'));
    if (after < this.forgottenUpTo) return { status: 410 };
    return new Promise((resolve) => {
      const until = performance.now() + Number(query.get('BlockMs') ?? 0);
      this.watches.add({ member, starts: query.get('Starts') ?? '', after, until, resolve });
      this.answerWatches();
    });
  }

  answerWatches() {
    if (this.isOut) return;
    for (const watch of [...this.watches]) {
      if (this.refused.has(watch.member)) continue;
      const News = this.history.filter(
        (change) => change.Stamp > watch.after && (change.Set ?? change.Remove).startsWith(watch.starts),
      );
      if (News.length === 0 && performance.now() < watch.until) continue;
      this.watches.delete(watch);
      watch.resolve({ status: 200, body: { Epoch: this.revision, News } });
    }
  }

  endGrant(id) {
    this.grants.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.Permit === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) {
      this.rows.delete(key);
      this.history.push({ Remove: key, Stamp: this.revision });
    }
    this.record('state', `grant ${id} ended: ${keys.join(' ')}`);
    this.answerWatches();
  }

  /** Begins or ends an outage. After it every lease gets its full time again. */
  setOut(isOut) {
    this.isOut = isOut;
    if (isOut) return;
    for (const grant of this.grants.values()) grant.until = performance.now() + grant.life;
    this.answerWatches();
  }

  sweep() {
    if (this.isOut) return;
    const now = performance.now();
    for (const [id, grant] of this.grants) if (grant.until < now) this.endGrant(id);
    while (this.history.length > HISTORY) this.forgottenUpTo = this.history.shift().Stamp;
    this.answerWatches();
  }
}
