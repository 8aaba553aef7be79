/** Gangs as the workers run them: tasks of one attempt find each other, start together and complete together. */
import { fromSeconds, type JobSpec, type Micros, SECOND } from '#wire';
import type { SimulationClock } from './sim-clock.js';

/** A gang's task on its machine, as the others of the gang see it. */
export interface GangMember {
  readonly task: string;
  /** It is on its machine and makes progress there; a machine that hangs does not answer. */
  isAnswering(): boolean;
  started(): void;
  completed(): void;
  lostPeer(): void;
}

/** Time limits of gangs. */
export interface GangTimes {
  /** For how long a task waits for the others. */
  gatherTimeout: Micros;
  /** Within what time a task notices that another one is gone. */
  peerLossTimeout: Micros;
}

type RunState = 'gathering' | 'running' | 'broken' | 'done';

interface GangRun {
  state: RunState;
  members: Map<string, GangMember>;
  startedAt: Micros;
}

/** How often the tasks of a running gang look after each other. */
const MEMBER_CHECK_INTERVAL: Micros = SECOND / 2;

/** All gangs of a cluster, as their workers see them. */
export class SimGangs {
  /** By job and attempt. */
  private readonly runs = new Map<string, GangRun>();
  /** By job: progress that was saved, which the next attempt goes on from. */
  private readonly checkpoints = new Map<string, Micros>();
  private readonly runTimes = new Map<string, Micros>();
  /** Attempts that came together. */
  starts = 0;

  constructor(
    private readonly clock: SimulationClock,
    private readonly random: () => number,
    readonly times: GangTimes,
  ) {}

  /** The task has its image and waits for the others of its attempt. */
  join(spec: JobSpec, attempt: number, member: GangMember): void {
    const run = this.findOrCreateRun(spec.id, attempt);
    run.members.set(member.task, member);
    if (run.state === 'gathering' && run.members.size === spec.taskCount) this.start(spec, run);
  }

  /** The task is off its machine. What waits goes on waiting; what runs breaks up. */
  leave(spec: JobSpec, attempt: number, member: GangMember): void {
    const run = this.findOrCreateRun(spec.id, attempt);
    if (run.members.get(member.task) !== member) return;
    run.members.delete(member.task);
    if (run.state === 'running') this.breakUp(spec, run);
  }

  private findOrCreateRun(job: string, attempt: number): GangRun {
    const key = `${job}#${attempt}`;
    let run = this.runs.get(key);
    if (!run) this.runs.set(key, (run = { state: 'gathering', members: new Map(), startedAt: 0 }));
    return run;
  }

  private start(spec: JobSpec, run: GangRun): void {
    run.state = 'running';
    run.startedAt = this.clock.time;
    this.starts++;
    for (const member of run.members.values()) member.started();
    this.checkMembers(spec, run);
  }

  private checkMembers(spec: JobSpec, run: GangRun): void {
    if (run.state !== 'running') return;
    const members = [...run.members.values()];
    if (members.some((member) => !member.isAnswering())) {
      this.breakUp(spec, run);
    } else if (this.progress(spec, run) >= this.runTime(spec)) {
      run.state = 'done';
      for (const member of members) member.completed();
    } else {
      this.clock.at(MEMBER_CHECK_INTERVAL, () => {
        this.checkMembers(spec, run);
      });
    }
  }

  /** Progress since the last checkpoint is lost; the tasks that are left notice within their time. */
  private breakUp(spec: JobSpec, run: GangRun): void {
    const checkpointInterval = fromSeconds(spec.checkpointS);
    if (checkpointInterval > 0) {
      this.checkpoints.set(
        spec.id,
        Math.floor(this.progress(spec, run) / checkpointInterval) * checkpointInterval,
      );
    }
    run.state = 'broken';
    for (const member of run.members.values()) {
      this.clock.at(this.random() * this.times.peerLossTimeout, () => {
        if (run.members.get(member.task) === member) member.lostPeer();
      });
    }
  }

  private progress(spec: JobSpec, run: GangRun): Micros {
    return (this.checkpoints.get(spec.id) ?? 0) + this.clock.time - run.startedAt;
  }

  private runTime(spec: JobSpec): Micros {
    let runTime = this.runTimes.get(spec.id);
    if (runTime === undefined) {
      runTime = fromSeconds(spec.estimateS * (0.6 + this.random() * 0.8));
      this.runTimes.set(spec.id, runTime);
    }
    return runTime;
  }
}
