// Stand-in of a worker, by the section "Workers -> controller nodes" of the protocol.
import { createClient, sleep } from './http.js';

const TICK_MS = 50;

export class Worker {
  shift = 1;
  tally = 0;
  baton = 0;
  recallS = null;
  isAlive = true;
  /** Tasks, keyed by `piece#try`. */
  tasks = new Map();
  #images = new Set();
  #timers = new Set();
  #changed = false;
  #lastSentAt = 0;
  #inFlight = false;
  /** Time before which no report is sent, after one that failed. */
  #notBefore = 0;
  #leaseFrom = Date.now();
  #tokenNotedAt = 0;
  #nextNode;
  #client = createClient();

  /**
   * `nodes`: `[{ member, address }]`. `findJob(id)`: the description that its user uploaded, with `runMs(index)`.
   * `reaches(member)`: whether reports can reach this node now. `record(event, fields)`: notes what happens.
   */
  constructor({
    host,
    type,
    nodes,
    findJob,
    limits,
    reaches = () => true,
    firstNode = 0,
    record,
    fetchMs = () => 0,
  }) {
    Object.assign(this, { host, type, nodes, findJob, limits, reaches, record, fetchMs });
    this.#nextNode = firstNode;
    this.record('session', { host: host.name, shift: 1 });
    void this.#run();
  }

  destroy() {
    this.isAlive = false;
    this.#killAll('machine gone');
    this.#client.close();
  }

  async #run() {
    while (this.isAlive) {
      const now = Date.now();
      const { leaseMs, reportMs } = this.limits;
      if (now - this.#leaseFrom > leaseMs) this.#expire();
      const due = this.#lastSentAt + reportMs * (0.75 + Math.random() * 0.5);
      const early = this.#changed && now - this.#lastSentAt >= 500;
      if (!this.#inFlight && now >= this.#notBefore && (now >= due || early)) void this.#report();
      await sleep(TICK_MS);
    }
  }

  #expire() {
    this.#killAll('lease over');
    this.shift++;
    this.tally = 0;
    this.#leaseFrom = Date.now();
    this.#changed = true;
    this.record('session', { host: this.host.name, shift: this.shift });
  }

  #killAll(why) {
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
    for (const task of this.tasks.values())
      if (task.on) this.record('killed', { host: this.host.name, piece: task.piece, try: task.try, why });
    this.tasks.clear();
  }

  #after(ms, action) {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (this.isAlive) action();
    }, ms);
    this.#timers.add(timer);
  }

  body() {
    const { name, type, zone, spot } = this.host;
    return {
      Host: name,
      Endpoint: '127.0.0.1:9',
      Build: type,
      Hall: zone,
      Loaners: spot,
      Shift: this.shift,
      Tally: ++this.tally,
      Baton: this.baton,
      RecallS: this.recallS,
      Pieces: [...this.tasks.values()].map((task) => ({
        Piece: task.piece,
        Try: task.try,
        Status: task.status,
        ...(task.cause ? { Cause: task.cause, Stored: task.stored } : {}),
      })),
    };
  }

  async #report() {
    this.#inFlight = true;
    this.#changed = false;
    const sentAt = Date.now();
    this.#lastSentAt = sentAt;
    const { shift } = this;
    const node = this.nodes[this.#nextNode % this.nodes.length];
    const body = this.body();
    let reply;
    if (this.reaches(node.member)) reply = await this.#client(node.address, 'POST', '/v1/report', body, 4000);
    else {
      // Behind a cut nothing answers.
      await sleep(4000);
      reply = { status: 0, body: {} };
    }
    this.#inFlight = false;
    if (!this.isAlive) return;
    this.onAnswer?.(node.member, body, reply);
    if (reply.status === 200) {
      this.#apply(reply.body, sentAt, shift);
      return;
    }
    if (reply.status === 421) {
      const index = this.nodes.findIndex(({ member }) => member === reply.body.Foreman);
      if (index >= 0 && index !== this.#nextNode % this.nodes.length) {
        this.#nextNode = index;
        // At once or after up to half a second.
        this.#lastSentAt = 0;
        this.#notBefore = Date.now() + Math.random() * 500;
        return;
      }
    }
    // Tries the next node one second later.
    this.#nextNode++;
    this.#lastSentAt = 0;
    this.#notBefore = Date.now() + 1000;
  }

  #apply({ Baton, Orders = [] }, sentAt, shift) {
    if (Baton === undefined || Baton < this.baton || shift !== this.shift) return;
    if (Baton > this.baton) {
      this.baton = Baton;
      if (Date.now() - this.#tokenNotedAt > this.limits.leaseMs / 2) {
        this.#tokenNotedAt = Date.now();
        this.#changed = true;
      }
    }
    this.#leaseFrom = Math.max(this.#leaseFrom, sentAt);
    for (const order of Orders) this.#execute(order);
  }

  #execute({ Verb, Piece, Try, WindDownS = 0 }) {
    const key = `${Piece}#${Try}`;
    const task = this.tasks.get(key);
    if (Verb === 'launch' && !task) this.#launch(key, Piece, Try);
    else if (Verb === 'halt' && task && task.status !== 'exited') this.#halt(task, WindDownS);
    else if (Verb === 'reap' && task?.status === 'exited') {
      this.tasks.delete(key);
      this.#changed = true;
    }
  }

  #launch(key, piece, attempt) {
    const [id, index] = piece.split('/');
    const job = this.findJob(id);
    const task = { piece, try: attempt, job, status: 'pulling', cause: null, stored: false, on: false };
    const others = [...this.tasks.values()].filter(({ status }) => status !== 'exited');
    this.tasks.set(key, task);
    this.#changed = true;
    this.record('launch', { host: this.host.name, piece, try: attempt });
    if (!job || Number(index) >= job.Pieces) return this.#exit(task, 'unknown');
    if (others.some((other) => other.piece === piece)) return this.#exit(task, 'in_use');
    const used = (field) => others.reduce((sum, other) => sum + other.job[field], 0) + job[field];
    const fits = ['Cpus', 'Gpus', 'MemGb'].every((field) => used(field) <= this.type[field] + 1e-6);
    if (!fits) return this.#exit(task, 'full');
    const fetchMs = this.#images.has(job.Bundle) ? 0 : this.fetchMs(job);
    return this.#after(fetchMs, () => {
      if (task.status !== 'pulling') return;
      this.#images.add(job.Bundle);
      task.status = 'running';
      task.on = true;
      this.#changed = true;
      this.record('start', { host: this.host.name, zone: this.host.zone, piece, try: attempt });
      // A result is kept: a task that has one exits at once.
      const runMs = job.results?.has(piece) ? 0 : job.runMs(Number(index), this.host);
      this.#after(runMs, () => {
        if (task.status !== 'running') return;
        const cause = job.fails?.(Number(index), this.host) ? 'error' : 'done';
        if (cause === 'done') (job.results ??= new Set()).add(piece);
        this.#exit(task, cause);
      });
    });
  }

  #halt(task, graceS) {
    if (task.status === 'running' && task.job.BookmarkS > 0 && graceS >= task.job.StashS) {
      task.status = 'saving';
      this.#changed = true;
      this.#after(task.job.StashS * 1000, () => {
        if (task.status !== 'saving') return;
        task.stored = true;
        this.#exit(task, 'halted');
      });
    } else if (task.status !== 'saving' || graceS === 0) this.#exit(task, 'halted');
  }

  #exit(task, cause) {
    this.record('exit', { host: this.host.name, piece: task.piece, try: task.try, cause });
    task.status = 'exited';
    task.cause = cause;
    task.on = false;
    this.#changed = true;
  }
}
