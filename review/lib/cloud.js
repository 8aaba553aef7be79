// Stand-in of the cloud, by the section "Controller nodes -> cloud" of the protocol.
import { serve } from './http.js';

export class Cloud {
  hosts = new Map();
  isDown = false;
  #hires = new Map();
  #lists = [];
  #count = 0;
  #bucket;
  #timers = new Set();

  /**
   * `types`: rows of GET /machine_types. `capacity(type, zone, spot)`: the number of machines there are.
   * `bootMs(host)`: how long a machine boots, null: it never comes up. `onUp`, `onGone`: called with the host.
   */
  constructor({ types, capacity, rps, listLagMs, bootMs, onUp, onGone, record }) {
    Object.assign(this, { types, capacity, rps, listLagMs, bootMs, onUp, onGone, record });
    this.#bucket = { left: 2 * rps, at: Date.now() };
    this.timer = setInterval(() => this.#note(), 250);
    this.#note();
  }

  async listen() {
    this.server = await serve((method, url, body) => this.#handle(method, url, body));
    return this.server.address;
  }

  close() {
    clearInterval(this.timer);
    for (const timer of this.#timers) clearTimeout(timer);
    this.server.close();
  }

  #note() {
    const now = Date.now();
    const rows = [...this.hosts.values()].map(({ name, type, zone, spot, status, at }) => ({
      Uid: name,
      Endpoint: '127.0.0.1:9',
      Build: type,
      Hall: zone,
      Loaners: spot,
      Status: status,
      AgeS: (now - at) / 1000,
    }));
    this.#lists.push({ at: now, rows });
    while (this.#lists.length > 1 && this.#lists[1].at <= now - this.listLagMs) this.#lists.shift();
  }

  #handle(method, url, body) {
    const now = Date.now();
    const bucket = this.#bucket;
    bucket.left = Math.min(2 * this.rps, bucket.left + ((now - bucket.at) / 1000) * this.rps);
    bucket.at = now;
    if (bucket.left < 1) return { status: 429, body: {} };
    bucket.left--;
    if (this.isDown) return { status: 503, body: { error: 'trouble' } };
    if (url.pathname === '/machine_types') return { status: 200, body: { Builds: this.types } };
    if (method === 'GET') {
      const after = url.searchParams.get('After') ?? '';
      const limit = Math.min(500, Number(url.searchParams.get('Limit') ?? 500));
      const rows = this.#lists[0].rows.filter(({ Uid }) => Uid > after);
      return { status: 200, body: { Hosts: rows.slice(0, limit), More: rows.length > limit } };
    }
    return url.pathname === '/rentals' ? this.#rent(body) : this.#delete(body);
  }

  #rent({ Hire, Build, Hall, Loaners, Number: number }) {
    if (this.#hires.has(Hire)) return { status: 200, body: { Hosts: this.#hires.get(Hire) } };
    if (!(number >= 1 && number <= 50)) return { status: 400, body: {} };
    const same = (host) => host.type === Build && host.zone === Hall && host.spot === Loaners;
    const used = [...this.hosts.values()].filter(same).length;
    const count = Math.min(number, this.capacity(Build, Hall, Loaners) - used);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const names = [];
    for (let i = 0; i < count; i++) {
      const name = `n-${String(++this.#count).padStart(6, '0')}`;
      const host = { name, type: Build, zone: Hall, spot: Loaners, status: 'starting', at: Date.now() };
      this.hosts.set(name, host);
      names.push(name);
      const boot = this.bootMs(host);
      if (boot === null) continue;
      const timer = setTimeout(() => {
        this.#timers.delete(timer);
        if (this.hosts.get(name) !== host) return;
        host.status = 'running';
        this.onUp(host);
      }, boot);
      this.#timers.add(timer);
    }
    this.#hires.set(Hire, names);
    this.record('rented', { Hire, Build, Hall, Loaners, names });
    return { status: 200, body: { Hosts: names } };
  }

  #delete({ Hosts }) {
    if (Hosts.length > 100) return { status: 400, body: {} };
    for (const name of Hosts) {
      const host = this.hosts.get(name);
      if (!host) continue;
      this.hosts.delete(name);
      this.onGone(host);
    }
    this.record('deleted', { Hosts });
    return { status: 200, body: {} };
  }
}
