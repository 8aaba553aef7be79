/** A stand-in for the worker of one machine, after the sections "Workers -> controller nodes" and the reverse. */
import { client, serve } from './http.js';

export class Worker {
  shift = 1;
  tally = 0;
  baton = 0;
  recallS = null;
  tasks = new Map();
  images = new Map();
  isUp = true;
  isHanging = false;
  /** Hook: (node) => undefined | 'down' (no connection) | 'deaf' (the report arrives, the answer is lost). */
  link = () => undefined;

  /**
   * `fleet`: `{nodes: [{member, bind}], reportS, leaseS, jobs, events, record, runS(job, index), fetchS(job)}`.
   * `events` is told of every change of a task on its machine.
   */
  constructor(host, type, fleet) {
    Object.assign(this, { host, type, fleet });
    this.send = client();
    this.node = Math.floor(Math.random() * fleet.nodes.length);
    this.leaseFrom = performance.now();
    this.lastReportAt = -Infinity;
    this.nextReportAt = 0;
    this.hasChanged = false;
    this.isReporting = false;
    this.timer = setInterval(() => this.tick(), 25);
  }

  async open() {
    this.server = await serve((method, url, body) => this.handleDirect(method, url, body));
    this.host.Endpoint = this.server.address;
  }

  /** The machine is gone with all that is on it. */
  destroy() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.timer);
    this.killAll('machine gone');
    this.send.close();
    this.server?.close();
  }

  report() {
    return {
      Host: this.host.Uid,
      Endpoint: this.host.Endpoint ?? '127.0.0.1:1',
      Build: this.host.Build,
      Hall: this.host.Hall,
      Loaners: this.host.Loaners,
      Shift: this.shift,
      Tally: ++this.tally,
      Baton: this.baton,
      RecallS: this.recallS,
      Pieces: [...this.tasks.values()].map(({ Piece, Try, Status, Cause, Stored }) =>
        Status === 'exited' ? { Piece, Try, Status, Cause, Stored } : { Piece, Try, Status },
      ),
    };
  }

  tick() {
    if (!this.isUp) return;
    const now = performance.now();
    if (now - this.leaseFrom > this.fleet.leaseS * 1000) this.expire();
    if (this.isHanging || this.isReporting) return;
    const isDue = now >= this.nextReportAt;
    const isEarly = this.hasChanged && now - this.lastReportAt >= 500 && now >= (this.notBefore ?? 0);
    if (isDue || isEarly) void this.sendReport();
  }

  expire() {
    this.killAll('lease ran out');
    this.fleet.record(this.host.Uid, `lease ran out, session ${this.shift + 1}`);
    this.shift++;
    this.leaseFrom = performance.now();
    this.hasChanged = true;
  }

  killAll(why) {
    for (const task of this.tasks.values()) this.leave(task, why);
    this.tasks.clear();
  }

  async sendReport() {
    const { nodes, reportS } = this.fleet;
    const now = performance.now();
    this.isReporting = true;
    this.hasChanged = false;
    this.lastReportAt = now;
    this.nextReportAt = now + reportS * 1000 * (0.75 + Math.random() * 0.5);
    this.notBefore = 0;
    const { shift } = this;
    const node = nodes[this.node % nodes.length];
    const link = this.link(node.member);
    const body = this.report();
    const reply =
      link === 'down'
        ? { status: 0, body: {} }
        : await this.send(node.bind, 'POST', '/v1/report', body, 4000);
    if (!this.isUp) return;
    this.isReporting = false;
    if (link === 'deaf') Object.assign(reply, { status: 0, body: {} });
    if (this.isHanging) return;
    this.fleet.onReport?.(this, node, body, reply);
    if (reply.status === 200) return this.obey(reply.body, now, shift);
    if (reply.status === 421) {
      const index = nodes.findIndex(({ member }) => member === reply.body.Foreman);
      if (index >= 0 && index !== this.node % nodes.length) {
        this.node = index;
        this.nextReportAt = performance.now() + Math.random() * 500;
        return;
      }
    }
    this.node = (this.node + 1) % nodes.length;
    this.nextReportAt = performance.now() + 1000;
    this.notBefore = this.nextReportAt;
  }

  obey(answer, sentAt, shift) {
    const baton = (answer.Baton ?? null) === null ? -1 : Number(answer.Baton);
    if (baton < this.baton || shift !== this.shift) return;
    if (baton > this.baton) this.hasChanged = true;
    this.baton = baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const order of answer.Orders ?? []) this.execute(order);
  }

  handleDirect(method, url, body) {
    if (this.isHanging) return 'silent';
    if (url.pathname === '/inspect') return { status: 200, body: this.report() };
    if ((body?.Baton ?? null) === null || (body.Shift ?? null) === null) return { status: 400 };
    if (Number(body.Baton) < this.baton || Number(body.Shift) !== this.shift)
      return { status: 409, body: this.report() };
    this.baton = Number(body.Baton);
    for (const order of body.Orders ?? []) this.execute(order);
    return { status: 200, body: this.report() };
  }

  execute({ Verb, Piece, Try, WindDownS }) {
    const key = `${Piece}#${Try}`;
    const task = this.tasks.get(key);
    if (Verb === 'launch' && !task) this.launch(key, Piece, Number(Try));
    else if (Verb === 'halt' && task) this.halt(task, Number(WindDownS ?? 0));
    else if (Verb === 'reap' && task?.Status === 'exited') {
      this.tasks.delete(key);
      this.hasChanged = true;
    }
  }

  launch(key, Piece, Try) {
    const [id, index] = Piece.split('/');
    const job = this.fleet.jobs.get(id);
    const task = {
      key,
      Piece,
      Try,
      Status: 'pulling',
      Cause: null,
      Stored: false,
      job,
      index: Number(index),
    };
    const isHere = [...this.tasks.values()].some(
      (other) => other.Piece === Piece && other.Status !== 'exited',
    );
    const hasRoom = job !== undefined && this.hasRoom(job);
    this.tasks.set(key, task);
    this.hasChanged = true;
    this.fleet.record(this.host.Uid, `launch ${Piece} try ${Try}`);
    if (!job || task.index >= job.Pieces) return this.exit(task, 'unknown');
    if (isHere) return this.exit(task, 'in_use');
    if (!hasRoom) return this.exit(task, 'full');
    const fetchMs = this.images.has(job.Bundle) ? 0 : this.fleet.fetchS(job, this) * 1000;
    setTimeout(() => this.begin(task), fetchMs);
  }

  begin(task) {
    if (!this.isUp || this.tasks.get(task.key) !== task || task.Status !== 'pulling') return;
    if (this.isHanging) return void setTimeout(() => this.begin(task), 100);
    this.images.set(task.job.Bundle, true);
    this.fleet.events.started(task, this);
    if (task.job.Shape === 'ensemble') {
      this.gather(task);
      return;
    }
    task.Status = 'running';
    this.hasChanged = true;
    const isStored = this.fleet.events.isDone(task.Piece);
    let leftMs = isStored ? 0 : this.fleet.runS(task.job, task.index, this) * 1000;
    const step = () => {
      if (!this.isUp || this.tasks.get(task.key) !== task || task.Status !== 'running') return;
      if (!this.isHanging) leftMs -= 50;
      if (leftMs > 0) return void setTimeout(step, 50);
      this.exit(task, this.fleet.fails?.(task, this) ? 'error' : 'done');
    };
    step();
  }

  /** A task of a gang waits for the others of its attempt. They start together and complete together. */
  gather(task) {
    const { fleet } = this;
    const gangs = (fleet.gangs ??= new Map());
    const key = `${task.job.Uid}#${task.Try}`;
    const gang = gangs.get(key) ?? { members: new Set(), isRunning: false };
    gangs.set(key, gang);
    const member = { task, worker: this };
    gang.members.add(member);
    task.gang = { gang, member };
    task.Status = 'gathering';
    this.hasChanged = true;
    if (fleet.events.isDone(task.Piece)) {
      this.exit(task, 'done');
      return;
    }
    setTimeout(() => {
      if (this.isUp && task.Status === 'gathering' && this.tasks.get(task.key) === task)
        this.exit(task, 'alone');
    }, fleet.gangWaitS * 1000);
    if (gang.members.size < task.job.Pieces) return;
    gang.isRunning = true;
    for (const { task: other, worker } of gang.members) {
      other.Status = 'running';
      worker.hasChanged = true;
    }
    setTimeout(
      () => {
        if (gang.members.size < task.job.Pieces) return;
        for (const { task: other } of gang.members) fleet.events.done?.add(other.Piece);
        for (const { task: other, worker } of [...gang.members]) {
          if (other.gang) other.gang.isComplete = true;
          worker.exit(other, 'done');
        }
      },
      fleet.runS(task.job, 0) * 1000,
    );
  }

  /** A task of a gang is gone: the others of a running gang notice within `gang_peer_s`. */
  leaveGang(task) {
    const { gang, member, isComplete } = task.gang ?? {};
    task.gang = undefined;
    if (!gang) return;
    gang.members.delete(member);
    if (!gang.isRunning || isComplete) return;
    setTimeout(() => {
      for (const { task: other, worker } of [...gang.members])
        if (worker.isUp && other.Status === 'running') worker.exit(other, 'peers');
    }, this.fleet.gangPeerS * 500);
  }

  halt(task, windDownS) {
    const { job, Status } = task;
    if (Status === 'exited') return;
    if (Status === 'running' && job?.Shape === 'array' && job.BookmarkS > 0 && windDownS >= job.StashS) {
      task.Status = 'saving';
      this.hasChanged = true;
      setTimeout(() => {
        if (!this.isUp || task.Status !== 'saving' || this.tasks.get(task.key) !== task) return;
        task.Stored = true;
        this.exit(task, 'halted');
      }, job.StashS * 1000);
    } else if (Status !== 'saving' || windDownS === 0) this.exit(task, 'halted');
  }

  exit(task, cause) {
    this.leave(task, cause);
    task.Status = 'exited';
    task.Cause = cause;
    this.hasChanged = true;
  }

  leave(task, why) {
    if (!['running', 'saving', 'gathering'].includes(task.Status)) return;
    this.fleet.events.ended(task, this, why);
    this.leaveGang(task);
  }

  hasRoom(job) {
    const free = {
      Cpus: this.type.Cpus - job.Cpus,
      Gpus: this.type.Gpus - job.Gpus,
      MemGb: this.type.MemGb - job.MemGb,
    };
    for (const other of this.tasks.values()) {
      if (other.Status === 'exited') continue;
      for (const field of Object.keys(free)) free[field] -= other.job[field];
    }
    return Object.values(free).every((amount) => amount > -1e-6);
  }
}
