/** Tasks on simulated machines: which machines they may run on, and the resources that each team uses. */
import type { JobSpec } from '#wire';
import {
  type FreeCapacity,
  InvariantViolation,
  type MachineFacts,
  type TeamLimits,
} from './invariant-types.js';

/** Tolerance for rounding errors in sums of fractional CPUs. */
const EPSILON = 1e-6;

/** One task on a machine. */
export interface RunningTask {
  readonly taskName: string;
  readonly spec: JobSpec;
  readonly machine: MachineFacts;
  readonly attempt: number;
}

/** All running tasks. Throws an {@link InvariantViolation} for a start that violates the protocol. */
export class RunningTasks {
  /** Keyed by task name. */
  private readonly running = new Map<string, RunningTask>();
  /** Resources that the running tasks of each team use. Keyed by team. */
  private readonly usageByTeam = new Map<string, { cpus: number; gpus: number }>();

  constructor(private readonly limits: TeamLimits) {}

  /** Records that a task starts, and checks its placement, its attempt and the limit of its team. */
  start(task: RunningTask): void {
    const { taskName, spec, machine, attempt } = task;
    this.checkPlacement(spec, taskName, machine);
    if (spec.shape === 'gang') this.checkAttempt(taskName, spec.id, attempt);
    this.running.set(taskName, task);
    this.updateUsage(spec, 1);
  }

  /** Records that a task has left its machine; unknown tasks are ignored. */
  end(taskName: string): void {
    const task = this.running.get(taskName);
    if (!task) return;
    this.running.delete(taskName);
    this.updateUsage(task.spec, -1);
  }

  /** Returns the task with that name if it is running. */
  get(taskName: string): RunningTask | undefined {
    return this.running.get(taskName);
  }

  /** Returns the running tasks of a job. */
  ofJob(id: string): RunningTask[] {
    return [...this.running.values()].filter((task) => task.spec.id === id);
  }

  /** Finds a machine with capacity for one of the job's tasks; for a gang, one of a set with capacity for all its tasks. */
  capacityFor(spec: JobSpec, capacities: readonly FreeCapacity[]): FreeCapacity | undefined {
    const suitable = capacities.filter((free) => this.fits(spec, free));
    if (spec.shape === 'array') return suitable[0];
    const slots = new Map<string, number>();
    return suitable.find((free) => {
      const zone = spec.singleZone ? free.machine.zone : '';
      slots.set(zone, (slots.get(zone) ?? 0) + countSlots(spec, free));
      return (slots.get(zone) ?? 0) >= spec.taskCount;
    });
  }

  /** True if one more task of the job, or the whole gang, stays within the team's limit. */
  isUnderLimit({ team, cpus, gpus, shape, taskCount }: JobSpec): boolean {
    const limit = this.limits.get(team);
    const used = this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
    const count = shape === 'gang' ? taskCount : 1;
    return !limit || (used.cpus + count * cpus <= limit.cpus && used.gpus + count * gpus <= limit.gpus);
  }

  private fits(spec: JobSpec, { machine, cpus, gpus, memGb }: FreeCapacity): boolean {
    return (
      spec.cpus <= cpus &&
      spec.gpus <= gpus &&
      spec.memGb <= memGb &&
      this.placementViolation(spec, machine) === null
    );
  }

  /** Checks a guarantee beyond the protocol: a new attempt of a gang starts only after the old one has left all machines. */
  private checkAttempt(taskName: string, jobId: string, attempt: number): void {
    const other = [...this.running.values()].find((r) => r.spec.id === jobId && r.attempt !== attempt);
    if (!other) return;
    const detail = `${taskName} of attempt ${attempt} starts while ${other.taskName} of attempt ${other.attempt} runs`;
    throw new InvariantViolation('mixed_attempts', detail);
  }

  private checkPlacement(spec: JobSpec, taskName: string, machine: MachineFacts): void {
    const reason = this.placementViolation(spec, machine);
    if (reason !== null)
      throw new InvariantViolation('wrong_place', `${taskName} on ${machine.host}: ${reason}`);
  }

  /** Returns the reason why one more task of the job must not run on that machine now, or null. */
  private placementViolation(spec: JobSpec, machine: MachineFacts): string | null {
    if (spec.machineTypes && !spec.machineTypes.includes(machine.machineType)) return 'type';
    if (spec.zone !== null && spec.zone !== machine.zone) return 'zone';
    if (!spec.allowsSpot && machine.spot) return 'spot';
    const otherZones = [...this.running.values()]
      .filter((r) => r.spec.id === spec.id)
      .map((r) => r.machine.zone);
    if (spec.singleZone && otherZones.some((zone) => zone !== machine.zone))
      return 'not the zone of its other tasks';
    const tasksInZone = otherZones.filter((zone) => zone === machine.zone).length + 1;
    return spec.spreadZones && tasksInZone > Math.ceil(spec.taskCount / 2) ? 'too many in one zone' : null;
  }

  private describeTasksOf(team: string): string {
    const teamTasks = [...this.running.values()].filter((r) => r.spec.team === team);
    return teamTasks.map((r) => `${r.taskName} on ${r.machine.host}`).join(', ');
  }

  private updateUsage(spec: JobSpec, sign: 1 | -1): void {
    const used = this.usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    used.cpus += sign * spec.cpus;
    used.gpus += sign * spec.gpus;
    this.usageByTeam.set(spec.team, used);
    const limit = this.limits.get(spec.team);
    if (limit && (used.cpus > limit.cpus + EPSILON || used.gpus > limit.gpus + EPSILON)) {
      throw new InvariantViolation(
        'quota',
        `${spec.team} uses ${used.cpus} CPUs and ${used.gpus} GPUs with ${this.describeTasksOf(spec.team)}`,
      );
    }
  }
}

/** Returns how many of the job's tasks fit into the free capacity. */
function countSlots(spec: JobSpec, { cpus, gpus, memGb }: FreeCapacity): number {
  const slotsFor = (available: number, required: number): number =>
    required > 0 ? Math.floor(available / required + EPSILON) : Infinity;
  return Math.min(slotsFor(cpus, spec.cpus), slotsFor(gpus, spec.gpus), slotsFor(memGb, spec.memGb));
}
