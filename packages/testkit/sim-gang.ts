/** Simulated execution of gangs: the tasks of one attempt find each other, start together and complete together. */
import { fromSeconds, type JobSpec, type Micros, SECOND } from '#wire';
import type { SimulationClock } from './sim-clock.js';

/** A task of a gang on its machine, as the gang's other tasks see it. */
export interface GangMember {
  readonly taskName: string;
  /** True if the task is on its machine and makes progress; false if its machine hangs. */
  isAnswering(): boolean;
  /** Called once all tasks of the attempt are present. */
  started(): void;
  /** Called when the gang has completed its work. */
  completed(): void;
  /** Called when the task notices that another task of its attempt is lost. */
  lostPeer(): void;
}

/** Time limits of gangs. */
export interface GangTimes {
  /** How long a task waits for the other tasks of its attempt. */
  gatherTimeout: Micros;
  /** Longest time until a task notices the loss of another one. */
  peerLossTimeout: Micros;
}

type RunState = 'gathering' | 'running' | 'broken' | 'done';

/** One attempt of a gang. */
interface GangRun {
  state: RunState;
  /** Keyed by task name. */
  members: Map<string, GangMember>;
  startedAt: Micros;
}

/** Interval at which the tasks of a running gang check each other. */
const MEMBER_CHECK_INTERVAL: Micros = SECOND / 2;

/** All gangs of a cluster. */
export class SimGangs {
  /** Keyed by `job#attempt`. */
  private readonly runs = new Map<string, GangRun>();
  /** Progress in the last checkpoint, from which the next attempt continues. Keyed by job id. */
  private readonly checkpoints = new Map<string, Micros>();
  /** Run time of the whole gang over all its attempts, drawn at random. Keyed by job id. */
  private readonly runTimes = new Map<string, Micros>();
  /** Number of attempts whose tasks started together. */
  starts = 0;

  constructor(
    private readonly clock: SimulationClock,
    private readonly random: () => number,
    readonly times: GangTimes,
  ) {}

  /** Adds a task that has its image; the attempt starts once all of its tasks have joined. */
  join(spec: JobSpec, attempt: number, member: GangMember): void {
    const run = this.findOrCreateRun(spec.id, attempt);
    run.members.set(member.taskName, member);
    if (run.state === 'gathering' && run.members.size === spec.taskCount) this.start(spec, run);
  }

  /** Removes a task that no longer runs. A gathering attempt continues to wait; a running attempt breaks up. */
  leave(spec: JobSpec, attempt: number, member: GangMember): void {
    const run = this.findOrCreateRun(spec.id, attempt);
    if (run.members.get(member.taskName) !== member) return;
    run.members.delete(member.taskName);
    if (run.state === 'running') this.breakUp(spec, run);
  }

  private findOrCreateRun(jobId: string, attempt: number): GangRun {
    const key = `${jobId}#${attempt}`;
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

  /** Ends a running attempt. Progress since the checkpoint is lost; each remaining task notices within a timeout. */
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
        if (run.members.get(member.taskName) === member) member.lostPeer();
      });
    }
  }

  /** Returns the progress of a running attempt, including that of its checkpoint. */
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
