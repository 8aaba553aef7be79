// Stand-in of the state service, by the section "Controller nodes -> state service" of the protocol.
import { jsonBytes, serve } from './http.js';

const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;

export class StateService {
  rows = new Map();
  epoch = 0;
  /** Names of nodes that get 503 while the others are served. */
  refused = new Set();
  /** During an outage every request gets 503 and leases don't run. */
  isDown = false;
  #leases = new Map();
  #nextLease = 1;
  #changes = [];
  #oldest = 0;
  #watches = new Set();
  #servers = [];
  #buckets;

  constructor(limits) {
    this.limits = limits;
    const now = Date.now();
    this.#buckets = { requests: { left: limits.rps, at: now }, writes: { left: limits.writeRps, at: now } };
    this.timer = setInterval(() => this.#sweep(), 20);
  }

  /** Opens an address for one node, so that its requests can be told from those of the others. */
  async listen(node) {
    const server = await serve((method, url, body) => this.#handle(node, method, url, body));
    this.#servers.push(server);
    return server.address;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.#servers) server.close();
  }

  setDown(isDown) {
    this.isDown = isDown;
    if (!isDown) for (const lease of this.#leases.values()) lease.until = Date.now() + lease.lifeMs;
    this.#answerWatches();
  }

  #admit(bucket, rate, count) {
    const now = Date.now();
    bucket.left = Math.min(rate, bucket.left + ((now - bucket.at) / 1000) * rate);
    bucket.at = now;
    if (bucket.left < count) return false;
    bucket.left -= count;
    return true;
  }

  #handle(node, method, url, body) {
    if (this.isDown || this.refused.has(node)) return { status: 503, body: {} };
    if (!this.#admit(this.#buckets.requests, this.limits.rps, 1)) return { status: 429, body: {} };
    const path = decodeURIComponent(url.pathname);
    const query = url.searchParams;
    if (method === 'GET' && path === '/store') return this.#list(query);
    if (method === 'GET' && path === '/follow') return this.#follow(node, query);
    if (method === 'GET' && path.startsWith('/store/')) return this.#read(path.slice(7));
    if (method === 'POST' && path === '/commit') return this.#commit(body);
    if (method === 'POST' && path === '/grants') {
      const id = this.#nextLease++;
      this.#leases.set(id, { lifeMs: body.LifeMs, until: Date.now() + body.LifeMs });
      return { status: 200, body: { Permit: id } };
    }
    const match = /^\/grants\/(\d+)(\/renew)?$/.exec(path);
    const lease = match && this.#leases.get(Number(match[1]));
    if (!match) return { status: 400, body: {} };
    if (!lease) return { status: 404, body: { Epoch: this.epoch } };
    if (method === 'DELETE') this.#end(Number(match[1]));
    else lease.until = Date.now() + lease.lifeMs;
    return { status: 200, body: {} };
  }

  #read(key) {
    const row = this.rows.get(key);
    if (!row) return { status: 404, body: { Epoch: this.epoch } };
    return { status: 200, body: { Path: key, V: row.value, Stamp: row.stamp, Permit: row.lease } };
  }

  #list(query) {
    const prefix = query.get('Starts') ?? '';
    const after = query.get('After') ?? '';
    const limit = Math.min(1000, Number(query.get('Limit') ?? 1000));
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const Rows = [];
    let bytes = 0;
    for (const key of keys.slice(0, limit)) {
      const row = this.rows.get(key);
      bytes += key.length + jsonBytes(row.value);
      if (Rows.length > 0 && bytes > PAGE_BYTES) break;
      Rows.push({ Path: key, V: row.value, Stamp: row.stamp });
    }
    return { status: 200, body: { Rows, More: keys.length > Rows.length, Epoch: this.epoch } };
  }

  #commit({ Guards = [], Writes = [] }) {
    const { txnOps, writeRps, valueKb } = this.limits;
    if (Writes.length > txnOps || Guards.length > 4 * txnOps) return { status: 400, body: {} };
    if (!this.#admit(this.#buckets.writes, writeRps, Writes.length)) return { status: 429, body: {} };
    for (const { Set: key, V, Permit } of Writes) {
      if (key === undefined) continue;
      if (jsonBytes(V) > valueKb * 1024) return { status: 400, body: { error: 'value too large' } };
      if ((Permit ?? null) !== null && !this.#leases.has(Number(Permit)))
        return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = Guards.filter(({ Path, Stamp }) => (this.rows.get(Path)?.stamp ?? 0) !== Number(Stamp));
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ Path }) => Path), Epoch: this.epoch } };
    if (Writes.length === 0) return { status: 200, body: { Epoch: this.epoch } };
    this.epoch++;
    this.onCommit?.(Writes);
    for (const { Set: key, Remove, V, Permit } of Writes) {
      if (key === undefined) this.#remove(Remove);
      else this.#put(key, V, (Permit ?? null) === null ? null : Number(Permit));
    }
    this.#answerWatches();
    return { status: 200, body: { Epoch: this.epoch } };
  }

  #put(key, value, lease) {
    this.rows.set(key, { value, stamp: this.epoch, lease });
    this.#note({ Set: key, V: value, Stamp: this.epoch });
  }

  #remove(key) {
    if (this.rows.delete(key)) this.#note({ Remove: key, Stamp: this.epoch });
  }

  #note(change) {
    this.#changes.push(change);
    if (this.#changes.length > KEPT_CHANGES) this.#oldest = this.#changes.shift().Stamp;
  }

  #follow(node, query) {
    const after = Number(query.get('After') ?? 0);
    if (after < this.#oldest) return { status: 410, body: {} };
    return new Promise((resolve) => {
      const until = Date.now() + Number(query.get('BlockMs') ?? 0);
      this.#watches.add({ node, prefix: query.get('Starts') ?? '', after, until, resolve });
      this.#answerWatches();
    });
  }

  #answerWatches() {
    if (this.isDown) return;
    for (const watch of [...this.#watches]) {
      if (this.refused.has(watch.node)) continue;
      const News = [];
      for (let i = this.#changes.length - 1; i >= 0 && this.#changes[i].Stamp > watch.after; i--) {
        const change = this.#changes[i];
        if ((change.Set ?? change.Remove).startsWith(watch.prefix)) News.unshift(change);
      }
      if (News.length === 0 && Date.now() < watch.until) continue;
      this.#watches.delete(watch);
      watch.resolve({ status: 200, body: { Epoch: this.epoch, News } });
    }
  }

  #end(id) {
    this.#leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.epoch++;
    for (const key of keys) this.#remove(key);
    this.#answerWatches();
  }

  #sweep() {
    if (this.isDown) return;
    const now = Date.now();
    for (const [id, { until }] of this.#leases) if (until < now) this.#end(id);
    this.#answerWatches();
  }
}
