import {
  type HttpClient,
  type WireFields,
  fromSeconds,
  isWireFields,
  type Micros,
  MS,
  SECOND,
  type JobSpec,
} from '#wire';
import type { MachineFacts, RuleChecker } from './rules.js';
import type { Gate, WorldClock } from './sim-clock.js';
import type { GangMember, SimGangs } from './sim-gang.js';

interface Task {
  piece: string;
  try: number;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause: string | null;
  stored: boolean;
  /** How the others of its gang see it, once it has its image. */
  member: GangMember | null;
}

export interface WorkerLimits {
  heartbeatInterval: Micros;
  workerLease: Micros;
}

export interface WorkerWorld {
  clock: WorldClock;
  random: () => number;
  rules: RuleChecker;
  gangs: SimGangs;
  job: (id: string) => JobSpec | undefined;
  /** Addresses of the controller nodes by name. */
  nodes: { member: string; endpoint: string }[];
  caller: (gate: Gate) => HttpClient;
  limits: WorkerLimits;
  capacity: { cpus: number; gpus: number; memGb: number };
  /** Every task fails here. */
  faulty: boolean;
  /** Told of every start that the worker executes, with the token of the answer that carried it. */
  onLaunch: (task: string, attempt: number, host: string, fencingToken: number) => void;
}

/** A machine's worker, as the protocol describes it. */
export class SimWorker {
  alive = true;
  /** Executes nothing while it hangs, but may go on later. */
  hanging = false;
  recallS: number | null = null;
  /** Tasks that were stopped by command. */
  halts = 0;
  private shift = 1;
  private tally = 0;
  private baton = 0;
  private leaseFrom: Micros;
  private node = 0;
  private changed = false;
  private lastReport: Micros = -Infinity;
  private inFlight = false;
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private readonly call: HttpClient;

  constructor(
    readonly machine: MachineFacts,
    private readonly world: WorkerWorld,
  ) {
    this.leaseFrom = world.clock.time;
    this.node = Math.floor(world.random() * world.nodes.length);
    this.call = world.caller((step) => {
      if (this.alive) step();
    });
    this.tick();
  }

  get isFaulty(): boolean {
    return this.world.faulty;
  }

  /** The node that it reports to, by its place among them. */
  get reportsTo(): number {
    return this.node;
  }

  get taskCount(): number {
    return this.tasks.size;
  }

  /** The machine is gone, with all that is on it. */
  destroy(): void {
    if (!this.alive) return;
    this.alive = false;
    this.killAll();
  }

  private tick(): void {
    if (!this.alive) return;
    const { clock, limits, random } = this.world;
    if (!this.hanging) {
      if (clock.time - this.leaseFrom > limits.workerLease) this.loseLease();
      const due = this.lastReport + limits.heartbeatInterval * (0.75 + random() * 0.5);
      const early = this.changed && clock.time - this.lastReport >= 500 * MS;
      if (!this.inFlight && (clock.time >= due || early)) void this.report();
    } else if (clock.time - this.leaseFrom > limits.workerLease) {
      this.loseLease();
    }
    clock.at(100 * MS, () => {
      this.tick();
    });
  }

  private loseLease(): void {
    this.killAll();
    this.shift++;
    this.tally = 0;
    this.leaseFrom = this.world.clock.time;
    this.changed = true;
  }

  private killAll(): void {
    for (const t of this.tasks.values()) {
      this.off(t);
      t.status = 'exited';
    }
    this.tasks.clear();
  }

  private async report(): Promise<void> {
    const { clock, nodes } = this.world;
    this.inFlight = true;
    this.changed = false;
    this.lastReport = clock.time;
    const sentAt = clock.time;
    const shift = this.shift;
    const node = nodes[this.node % nodes.length] as { member: string; endpoint: string };
    const body = {
      ...{
        Host: this.machine.host,
        Endpoint: '10.1.0.1:9000',
        Build: this.machine.machineType,
        Hall: this.machine.zone,
      },
      ...{ Loaners: this.machine.spot, Shift: shift, Tally: ++this.tally, Baton: this.baton },
      RecallS: this.recallS,
      Pieces: [...this.tasks.values()].map((t) => ({
        ...{ Piece: t.piece, Try: t.try, Status: t.status },
        ...(t.cause === null ? {} : { Cause: t.cause, Stored: t.stored }),
      })),
    };
    const reply = await this.call(node.endpoint, 'POST', '/v1/report', body, 4 * SECOND).catch(() => null);
    this.inFlight = false;
    if (reply?.status === 421) {
      const at = nodes.findIndex((n) => n.member === reply.body['Foreman']);
      if (at >= 0 && at !== this.node) {
        this.node = at;
        this.changed = true;
        return;
      }
    }
    if (reply?.status !== 200) {
      this.node = (this.node + 1) % nodes.length;
      this.lastReport = clock.time - this.world.limits.heartbeatInterval + SECOND;
      return;
    }
    this.obey(reply.body, sentAt, shift);
  }

  private obey(answer: WireFields, sentAt: Micros, shift: number): void {
    const fencingToken = Number(answer['Baton'] ?? 0);
    if (fencingToken < this.baton || shift !== this.shift || this.hanging) return;
    if (fencingToken > this.baton) this.changed = true;
    this.baton = fencingToken;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    const orders = Array.isArray(answer['Orders']) ? answer['Orders'].filter(isWireFields) : [];
    for (const o of orders) this.execute(String(o['Verb']), String(o['Piece']), Number(o['Try']), o);
  }

  private execute(verb: string, piece: string, attempt: number, order: WireFields): void {
    const key = `${piece}#${attempt}`;
    const task = this.tasks.get(key);
    if (verb === 'launch') {
      if (!task) this.launch(key, piece, attempt);
    } else if (verb === 'halt') {
      if (task) this.halt(task, Number(order['WindDownS'] ?? 0));
    } else if (task?.status === 'exited') {
      this.tasks.delete(key);
      this.changed = true;
    }
  }

  private launch(key: string, piece: string, attempt: number): void {
    const { clock, random } = this.world;
    const spec = this.world.job(piece.slice(0, piece.lastIndexOf('/')));
    const task: Task = { piece, try: attempt, status: 'pulling', cause: null, stored: false, member: null };
    const other = [...this.tasks.values()].some((t) => t.piece === piece && t.status !== 'exited');
    this.tasks.set(key, task);
    this.changed = true;
    this.world.onLaunch(piece, attempt, this.machine.host, this.baton);
    if (!spec) this.exit(task, 'unknown');
    else if (other) this.exit(task, 'in_use');
    else if (!this.hasRoom()) this.exit(task, 'full');
    else {
      const fetch = this.images.has(spec.image) ? 0 : SECOND * spec.imageGb * (0.7 + random() * 0.6);
      clock.at(fetch, () => {
        if (!this.alive || this.tasks.get(key) !== task || task.status !== 'pulling') return;
        this.images.add(spec.image);
        this.begin(key, task, spec);
      });
    }
  }

  private begin(key: string, task: Task, spec: JobSpec): void {
    const { clock, rules, random } = this.world;
    rules.began(task.piece, this.machine, clock.time, task.try);
    if (spec.shape === 'gang') {
      this.joinGang(task, spec);
      return;
    }
    task.status = 'running';
    this.changed = true;
    const known = rules.isDone(task.piece);
    const run = known ? 0 : fromSeconds(spec.estimateS * (0.6 + random() * 0.8));
    const fails = this.world.faulty || spec.jobClass === 'broken';
    const finish = (): void => {
      if (!this.alive || this.tasks.get(key) !== task || task.status !== 'running') return;
      if (this.hanging) clock.at(500 * MS, finish);
      else this.exit(task, fails ? 'error' : 'done');
    };
    clock.at(fails ? run * 0.2 : run, finish);
  }

  /** Waits for the other tasks of its attempt: it is on its machine meanwhile, and makes no progress. */
  private joinGang(task: Task, spec: JobSpec): void {
    const { clock, gangs, rules } = this.world;
    if (rules.isDone(task.piece)) {
      // The result of an earlier attempt was kept.
      this.exit(task, 'done');
      return;
    }
    const isOn = (): boolean => this.alive && task.status !== 'exited';
    const member: GangMember = {
      task: task.piece,
      isAnswering: () => isOn() && !this.hanging,
      started: () => {
        task.status = 'running';
        this.changed = true;
      },
      completed: () => {
        if (isOn()) this.exit(task, this.world.faulty ? 'error' : 'done');
      },
      lostPeer: () => {
        if (isOn()) this.exit(task, 'peers');
      },
    };
    task.status = 'gathering';
    task.member = member;
    this.changed = true;
    clock.at(gangs.times.wait, () => {
      if (this.alive && task.status === 'gathering') this.exit(task, 'alone');
    });
    gangs.arrive(spec, task.try, member);
  }

  private halt(task: Task, windDownS: number): void {
    const spec = this.world.job(task.piece.slice(0, task.piece.lastIndexOf('/')));
    if (task.status === 'exited') return;
    if (task.status !== 'saving') this.halts++;
    const saves = spec !== undefined && spec.shape === 'array' && spec.checkpointS > 0;
    if (task.status === 'running' && saves && windDownS >= spec.saveS) {
      task.status = 'saving';
      this.changed = true;
      this.world.clock.at(fromSeconds(spec.saveS), () => {
        if (this.alive && task.status === 'saving') {
          task.stored = true;
          this.exit(task, 'halted');
        }
      });
    } else if (task.status !== 'saving' || windDownS === 0) this.exit(task, 'halted');
  }

  private exit(task: Task, cause: string): void {
    this.off(task);
    if (cause === 'done') this.world.rules.ended(task.piece, true);
    task.status = 'exited';
    task.cause = cause;
    this.changed = true;
  }

  private off(task: Task): void {
    if (!['running', 'saving', 'gathering'].includes(task.status)) return;
    this.world.rules.ended(task.piece, false);
    const spec = this.world.job(task.piece.slice(0, task.piece.lastIndexOf('/')));
    const { member } = task;
    task.member = null;
    if (spec && member) this.world.gangs.leave(spec, task.try, member);
  }

  /** Room for all that is on it, the task just put there included. */
  private hasRoom(): boolean {
    const left = this.room();
    return left.cpus > -1e-6 && left.gpus > -1e-6 && left.memGb > -1e-6;
  }

  /** What its tasks leave of the machine. */
  room(): { cpus: number; gpus: number; memGb: number } {
    const left = { ...this.world.capacity };
    for (const t of this.tasks.values()) {
      if (t.status === 'exited') continue;
      const other = this.world.job(t.piece.slice(0, t.piece.lastIndexOf('/')));
      left.cpus -= other?.cpus ?? 0;
      left.gpus -= other?.gpus ?? 0;
      left.memGb -= other?.memGb ?? 0;
    }
    return left;
  }
}
