/** A simulated worker that runs the tasks of its machine and sends heartbeats. */
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
import type { MachineFacts, InvariantChecker } from './invariants.js';
import type { Gate, SimulationClock } from './sim-clock.js';
import type { GangMember, SimGangs } from './sim-gang.js';

interface Task {
  taskName: string;
  attempt: number;
  status: 'pulling' | 'gathering' | 'running' | 'saving' | 'exited';
  cause: string | null;
  isCheckpointed: boolean;
  /** How the others of its gang see it, once it has its image. */
  member: GangMember | null;
}

/** Times that a worker keeps. */
export interface WorkerLimits {
  heartbeatInterval: Micros;
  workerLease: Micros;
}

/** Resources of a worker's machine. */
export interface WorkerCapacity {
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
}

/** What a simulated worker is made of. */
export interface SimWorkerOptions {
  clock: SimulationClock;
  random: () => number;
  invariants: InvariantChecker;
  gangs: SimGangs;
  job: (id: string) => JobSpec | undefined;
  /** Addresses of the controller nodes by name. */
  nodes: { member: string; endpoint: string }[];
  caller: (gate: Gate) => HttpClient;
  limits: WorkerLimits;
  capacity: WorkerCapacity;
  /** Every task fails here. */
  isFaulty: boolean;
  /** Told of every start that the worker executes, with the token of the answer that carried it. */
  onLaunch: (task: string, attempt: number, host: string, fencingToken: number) => void;
}

/** A machine's worker, as the protocol describes it. */
export class SimWorker {
  isAlive = true;
  /** Executes nothing while it hangs, but may go on later. */
  isHanging = false;
  reclaimInS: number | null = null;
  /** Tasks that were stopped by command. */
  stopCount = 0;
  private incarnation = 1;
  private sequence = 0;
  private fencingToken = 0;
  private leaseStart: Micros;
  private node = 0;
  private hasChanged = false;
  private lastHeartbeatAt: Micros = -Infinity;
  private isHeartbeatInFlight = false;
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private readonly call: HttpClient;

  constructor(
    readonly machine: MachineFacts,
    private readonly options: SimWorkerOptions,
  ) {
    this.leaseStart = options.clock.time;
    this.node = Math.floor(options.random() * options.nodes.length);
    this.call = options.caller((step) => {
      if (this.isAlive) step();
    });
    this.tick();
  }

  get isFaulty(): boolean {
    return this.options.isFaulty;
  }

  /** The node that it reports to, by its place among them. */
  get nodeIndex(): number {
    return this.node;
  }

  get taskCount(): number {
    return this.tasks.size;
  }

  /** The machine is gone, with all that is on it. */
  destroy(): void {
    if (!this.isAlive) return;
    this.isAlive = false;
    this.killAll();
  }

  private tick(): void {
    if (!this.isAlive) return;
    const { clock, limits, random } = this.options;
    if (!this.isHanging) {
      if (clock.time - this.leaseStart > limits.workerLease) this.loseLease();
      const due = this.lastHeartbeatAt + limits.heartbeatInterval * (0.75 + random() * 0.5);
      const early = this.hasChanged && clock.time - this.lastHeartbeatAt >= 500 * MS;
      if (!this.isHeartbeatInFlight && (clock.time >= due || early)) void this.sendHeartbeat();
    } else if (clock.time - this.leaseStart > limits.workerLease) {
      this.loseLease();
    }
    clock.at(100 * MS, () => {
      this.tick();
    });
  }

  private loseLease(): void {
    this.killAll();
    this.incarnation++;
    this.sequence = 0;
    this.leaseStart = this.options.clock.time;
    this.hasChanged = true;
  }

  private killAll(): void {
    for (const t of this.tasks.values()) {
      this.leaveMachine(t);
      t.status = 'exited';
    }
    this.tasks.clear();
  }

  private async sendHeartbeat(): Promise<void> {
    const { clock, nodes } = this.options;
    this.isHeartbeatInFlight = true;
    this.hasChanged = false;
    this.lastHeartbeatAt = clock.time;
    const sentAt = clock.time;
    const shift = this.incarnation;
    const node = nodes[this.node % nodes.length] as { member: string; endpoint: string };
    const body = {
      Host: this.machine.host,
      Endpoint: '10.1.0.1:9000',
      Build: this.machine.machineType,
      Hall: this.machine.zone,
      Loaners: this.machine.spot,
      Shift: shift,
      Tally: ++this.sequence,
      Baton: this.fencingToken,
      RecallS: this.reclaimInS,
      Pieces: [...this.tasks.values()].map((t) => ({
        Piece: t.taskName,
        Try: t.attempt,
        Status: t.status,
        ...(t.cause === null ? {} : { Cause: t.cause, Stored: t.isCheckpointed }),
      })),
    };
    const reply = await this.call(node.endpoint, 'POST', '/v1/report', body, 4 * SECOND).catch(() => null);
    this.isHeartbeatInFlight = false;
    if (reply?.status === 421) {
      const at = nodes.findIndex((n) => n.member === reply.body['Foreman']);
      if (at >= 0 && at !== this.node) {
        this.node = at;
        this.hasChanged = true;
        return;
      }
    }
    if (reply?.status !== 200) {
      this.node = (this.node + 1) % nodes.length;
      this.lastHeartbeatAt = clock.time - this.options.limits.heartbeatInterval + SECOND;
      return;
    }
    this.applyResponse(reply.body, sentAt, shift);
  }

  private applyResponse(answer: WireFields, sentAt: Micros, shift: number): void {
    const fencingToken = Number(answer['Baton'] ?? 0);
    if (fencingToken < this.fencingToken || shift !== this.incarnation || this.isHanging) return;
    if (fencingToken > this.fencingToken) this.hasChanged = true;
    this.fencingToken = fencingToken;
    this.leaseStart = Math.max(this.leaseStart, sentAt);
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
      this.hasChanged = true;
    }
  }

  private launch(key: string, piece: string, attempt: number): void {
    const { clock, random } = this.options;
    const spec = this.options.job(piece.slice(0, piece.lastIndexOf('/')));
    const task: Task = {
      taskName: piece,
      attempt,
      status: 'pulling',
      cause: null,
      isCheckpointed: false,
      member: null,
    };
    const other = [...this.tasks.values()].some((t) => t.taskName === piece && t.status !== 'exited');
    this.tasks.set(key, task);
    this.hasChanged = true;
    this.options.onLaunch(piece, attempt, this.machine.host, this.fencingToken);
    if (!spec) this.exit(task, 'unknown');
    else if (other) this.exit(task, 'in_use');
    else if (!this.hasCapacity()) this.exit(task, 'full');
    else {
      const fetch = this.images.has(spec.image) ? 0 : SECOND * spec.imageGb * (0.7 + random() * 0.6);
      clock.at(fetch, () => {
        if (!this.isAlive || this.tasks.get(key) !== task || task.status !== 'pulling') return;
        this.images.add(spec.image);
        this.begin(key, task, spec);
      });
    }
  }

  private begin(key: string, task: Task, spec: JobSpec): void {
    const { clock, invariants, random } = this.options;
    invariants.taskStarted(task.taskName, this.machine, { now: clock.time, attempt: task.attempt });
    if (spec.shape === 'gang') {
      this.joinGang(task, spec);
      return;
    }
    task.status = 'running';
    this.hasChanged = true;
    const known = invariants.isTaskDone(task.taskName);
    const run = known ? 0 : fromSeconds(spec.estimateS * (0.6 + random() * 0.8));
    const fails = this.options.isFaulty || spec.jobClass === 'broken';
    const finish = (): void => {
      if (!this.isAlive || this.tasks.get(key) !== task || task.status !== 'running') return;
      if (this.isHanging) clock.at(500 * MS, finish);
      else this.exit(task, fails ? 'error' : 'done');
    };
    clock.at(fails ? run * 0.2 : run, finish);
  }

  /** Waits for the other tasks of its attempt: it is on its machine meanwhile, and makes no progress. */
  private joinGang(task: Task, spec: JobSpec): void {
    const { clock, gangs, invariants } = this.options;
    if (invariants.isTaskDone(task.taskName)) {
      // The result of an earlier attempt was kept.
      this.exit(task, 'done');
      return;
    }
    const isOn = (): boolean => this.isAlive && task.status !== 'exited';
    const member: GangMember = {
      task: task.taskName,
      isAnswering: () => isOn() && !this.isHanging,
      started: () => {
        task.status = 'running';
        this.hasChanged = true;
      },
      completed: () => {
        if (isOn()) this.exit(task, this.options.isFaulty ? 'error' : 'done');
      },
      lostPeer: () => {
        if (isOn()) this.exit(task, 'peers');
      },
    };
    task.status = 'gathering';
    task.member = member;
    this.hasChanged = true;
    clock.at(gangs.times.wait, () => {
      if (this.isAlive && task.status === 'gathering') this.exit(task, 'alone');
    });
    gangs.arrive(spec, task.attempt, member);
  }

  private halt(task: Task, windDownS: number): void {
    const spec = this.options.job(task.taskName.slice(0, task.taskName.lastIndexOf('/')));
    if (task.status === 'exited') return;
    if (task.status !== 'saving') this.stopCount++;
    const saves = spec !== undefined && spec.shape === 'array' && spec.checkpointS > 0;
    if (task.status === 'running' && saves && windDownS >= spec.saveS) {
      task.status = 'saving';
      this.hasChanged = true;
      this.options.clock.at(fromSeconds(spec.saveS), () => {
        if (this.isAlive && task.status === 'saving') {
          task.isCheckpointed = true;
          this.exit(task, 'halted');
        }
      });
    } else if (task.status !== 'saving' || windDownS === 0) this.exit(task, 'halted');
  }

  private exit(task: Task, cause: string): void {
    this.leaveMachine(task);
    if (cause === 'done') this.options.invariants.taskEnded(task.taskName, true);
    task.status = 'exited';
    task.cause = cause;
    this.hasChanged = true;
  }

  private leaveMachine(task: Task): void {
    if (!['running', 'saving', 'gathering'].includes(task.status)) return;
    this.options.invariants.taskEnded(task.taskName, false);
    const spec = this.options.job(task.taskName.slice(0, task.taskName.lastIndexOf('/')));
    const { member } = task;
    task.member = null;
    if (spec && member) this.options.gangs.leave(spec, task.attempt, member);
  }

  /** Room for all that is on it, the task just put there included. */
  private hasCapacity(): boolean {
    const left = this.freeCapacity();
    return left.cpus > -1e-6 && left.gpus > -1e-6 && left.memGb > -1e-6;
  }

  /** What its tasks leave of the machine. */
  freeCapacity(): { cpus: number; gpus: number; memGb: number } {
    const left = { ...this.options.capacity };
    for (const t of this.tasks.values()) {
      if (t.status === 'exited') continue;
      const other = this.options.job(t.taskName.slice(0, t.taskName.lastIndexOf('/')));
      left.cpus -= other?.cpus ?? 0;
      left.gpus -= other?.gpus ?? 0;
      left.memGb -= other?.memGb ?? 0;
    }
    return left;
  }
}
