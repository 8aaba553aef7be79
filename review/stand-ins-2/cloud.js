/** A stand-in for the cloud, after the section "Controller nodes -> cloud". */
import { pause, serve } from './http.js';

export class Cloud {
  hosts = new Map();
  rentals = new Map();
  snapshots = [];
  created = 0;
  isOut = false;
  bucket = { tokens: 0, at: 0 };
  counts = { limited: 0 };
  /** Hooks: a machine is up; a machine is gone. */
  onUp = () => undefined;
  onGone = () => undefined;

  /** `capacity(type, zone, isSpot)`: the number of machines that there are; `bootS(type, zone, isSpot)`: seconds until one is up. */
  constructor({ types, capacity, rps, listLagS, bootS, record = () => undefined }) {
    Object.assign(this, { types, capacity, rps, listLagS, bootS, record });
    this.timer = setInterval(() => this.snapshot(), 500);
  }

  async open() {
    this.server = await serve((method, url, body) => this.handle(method, url, body));
    this.address = this.server.address;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  async handle(method, url, body) {
    await pause(20 + Math.random() * 40);
    if (this.isOut) return { status: 503, body: { error: 'trouble' } };
    const now = performance.now();
    this.bucket.tokens = Math.min(
      2 * this.rps,
      this.bucket.tokens + ((now - this.bucket.at) / 1000) * this.rps,
    );
    this.bucket.at = now;
    if (this.bucket.tokens < 1) {
      this.counts.limited++;
      return { status: 429 };
    }
    this.bucket.tokens--;
    if (url.pathname === '/machine_types') return { status: 200, body: { Builds: this.types } };
    if (url.pathname === '/rentals' && method === 'GET') return this.list(url.searchParams);
    if (url.pathname === '/rentals' && method === 'POST') return this.rent(body);
    if (url.pathname === '/rentals/delete') return this.remove(body);
    return { status: 400 };
  }

  rent({ Hire, Build, Hall, Loaners, Number: count }) {
    const earlier = this.rentals.get(Hire);
    if (earlier) return { status: 200, body: { Hosts: earlier } };
    const inUse = [...this.hosts.values()].filter(
      (host) => host.Build === Build && host.Hall === Hall && host.Loaners === Loaners,
    ).length;
    const free = Math.min(Number(count), 50, this.capacity(Build, Hall, Loaners) - inUse);
    if (free <= 0) {
      this.record(
        'cloud',
        `rental ${Hire} of ${count} ${Build} in ${Hall}, ${Loaners ? 'spot' : 'ordinary'}: 503 no capacity`,
      );
      return { status: 503, body: { error: 'no capacity' } };
    }
    const Hosts = [];
    for (let i = 0; i < free; i++) {
      const Uid = `n-${String(++this.created).padStart(6, '0')}`;
      const host = { Uid, Build, Hall, Loaners, Status: 'starting', rentedAt: performance.now() };
      this.hosts.set(Uid, host);
      Hosts.push(Uid);
      setTimeout(
        () => {
          if (this.hosts.get(Uid) !== host) return;
          host.Status = 'running';
          this.record('cloud', `${Uid} is up`);
          this.onUp(host);
        },
        this.bootS(Build, Hall, Loaners) * 1000,
      );
    }
    this.rentals.set(Hire, Hosts);
    this.record(
      'cloud',
      `rental ${Hire} of ${count} ${Build} in ${Hall}, ${Loaners ? 'spot' : 'ordinary'}: 200 ${Hosts.join(' ')}`,
    );
    return { status: 200, body: { Hosts } };
  }

  remove({ Hosts }) {
    for (const name of Hosts) {
      const host = this.hosts.get(name);
      if (!host) continue;
      this.hosts.delete(name);
      this.onGone(host);
    }
    this.record('cloud', `deleted ${Hosts.join(' ')}`);
    return { status: 200, body: {} };
  }

  list(query) {
    const lagMs = this.listLagS * 1000 * (Math.random() < 0.1 ? 2 : 1);
    const at = performance.now() - lagMs;
    const rows = this.snapshots.filter((snapshot) => snapshot.at <= at).at(-1)?.rows ?? [];
    const after = query.get('After') ?? '';
    const limit = Math.min(500, Number(query.get('Limit') ?? 500));
    const following = rows.filter((row) => row.Uid > after);
    return { status: 200, body: { Hosts: following.slice(0, limit), More: following.length > limit } };
  }

  snapshot() {
    const now = performance.now();
    const rows = [...this.hosts.values()]
      .map((host) => ({
        Uid: host.Uid,
        Endpoint: host.Endpoint ?? '127.0.0.1:1',
        Build: host.Build,
        Hall: host.Hall,
        Loaners: host.Loaners,
        Status: host.Status,
        AgeS: (now - host.rentedAt) / 1000,
      }))
      .sort((a, b) => (a.Uid < b.Uid ? -1 : 1));
    this.snapshots.push({ at: now, rows });
    while (this.snapshots.length > 0 && this.snapshots[0].at < now - 4000 * this.listLagS - 5000)
      this.snapshots.shift();
  }
}
