/**
 * Tells failures of jobs from failures of machines. A failed attempt alone does not show which of the two is at fault:
 * the evidence is where else the job failed or runs, and which other jobs failed on the machine. Kept in memory only; a
 * ledger that was loaded from a checkpoint collects it anew.
 */
import type { JobProgress } from './job-progress.js';
import type { MachineEntry, Placement } from './placement.js';

/** Number of independent failures from which a job is suspected to be at fault itself. */
export const JOB_FAILURE_THRESHOLD = 3;
/**
 * A task that has run for this much longer than any failed attempt of its job counts as sound. Attempts take different
 * times to reach their machines and to fetch their image.
 */
const SOUND_RUN_MARGIN_MS = 10_000;

/** The failures of one job since its last task that was done. */
export interface JobFailures {
  /**
   * Number of independent failures that may be the job's own fault. Attempts that were under way on the same machine at
   * the same time count once, and failures on a machine that fails other jobs too do not count.
   */
  readonly independentCount: number;
  /** Wall-clock time of the last failure, in milliseconds. */
  readonly lastFailureAtMs: number;
  /** Longest time from the start of an attempt to its failure, in milliseconds. */
  readonly longestRunMs: number;
}

/** The failures of one job, and those among them that were counted for machines. */
class JobRecord implements JobFailures {
  independentCount = 0;
  lastFailureAtMs = 0;
  longestRunMs = 0;
  /** Wall-clock time of the last failure on each machine, in milliseconds. Keyed by host. */
  readonly lastFailureByHost = new Map<string, number>();
  /** Machines on which a failure of the job was counted for the machine, once for each time. */
  readonly countedMachines: MachineEntry[] = [];
}

/** A failed attempt: its placement, its machine, its job's progress, and the wall-clock time of its record. */
export interface FailedAttempt {
  readonly placement: Placement;
  readonly machine: MachineEntry;
  readonly progress: JobProgress;
  readonly failedAtMs: number;
}

/** Collects the failures of all jobs and machines, and counts each for the job, for the machine, or for both. */
export class FailureEvidence {
  /** Keyed by job. Jobs without failures since their last done task have no entry. */
  private readonly jobs = new Map<string, JobRecord>();
  /** Jobs that failed on a machine since the last task that was done there. Keyed by host. */
  private readonly jobsByHost = new Map<string, Set<string>>();

  /** Returns the failures of a job since its last done task; undefined if there are none. */
  ofJob(job: string): JobFailures | undefined {
    return this.jobs.get(job);
  }

  /** True if the job itself is suspected to be at fault. */
  isSuspect(job: string): boolean {
    return (this.jobs.get(job)?.independentCount ?? 0) >= JOB_FAILURE_THRESHOLD;
  }

  /**
   * Returns how many of the job's tasks have run for so much longer than its failed attempts that they show the job to be
   * sound on their machines. `nowMs`: wall-clock time in milliseconds.
   */
  soundTaskCount(job: string, progress: JobProgress, nowMs: number): number {
    const minRunMs = (this.jobs.get(job)?.longestRunMs ?? 0) + SOUND_RUN_MARGIN_MS;
    let count = 0;
    for (const { startedAtMs } of progress.placements.values()) if (nowMs - startedAtMs >= minRunMs) count++;
    return count;
  }

  /** Takes a task that was done: neither its job nor its machine is at fault. */
  onDone(job: string, machine: MachineEntry): void {
    this.jobs.delete(job);
    this.jobsByHost.delete(machine.host);
    machine.consecutiveFailures = 0;
  }

  /** Takes a failed attempt that is no longer placed. */
  onFailed({ placement, machine, progress, failedAtMs }: FailedAttempt): void {
    const { job, startedAtMs } = placement;
    const record = this.recordOf(job);
    const lastOnHost = record.lastFailureByHost.get(machine.host) ?? -Infinity;
    record.lastFailureAtMs = failedAtMs;
    record.longestRunMs = Math.max(record.longestRunMs, failedAtMs - startedAtMs);
    record.lastFailureByHost.set(machine.host, failedAtMs);
    // An attempt that was under way when another one failed there shows nothing that the other one did not show.
    if (startedAtMs < lastOnHost) return;
    const failsOtherJobs = this.failsOtherJobs(machine.host, job);
    this.failedJobsOn(machine.host).add(job);
    if (!failsOtherJobs) record.independentCount++;
    if (this.isSuspect(job) && this.soundTaskCount(job, progress, failedAtMs) === 0) this.exonerate(record);
    else this.countForMachine(record, machine, failedAtMs);
  }

  /** Forgets a job that has ended. */
  dropJob(job: string): void {
    this.jobs.delete(job);
  }

  /** Forgets a machine that has left the fleet. */
  dropMachine(host: string): void {
    this.jobsByHost.delete(host);
  }

  /** True if a job that is not suspected to be at fault itself failed on the machine since the last done task there. */
  private failsOtherJobs(host: string, job: string): boolean {
    const others = [...(this.jobsByHost.get(host) ?? [])].filter((other) => other !== job);
    return others.some((other) => !this.isSuspect(other));
  }

  private countForMachine(record: JobRecord, machine: MachineEntry, failedAtMs: number): void {
    machine.consecutiveFailures++;
    machine.lastFailureAtMs = failedAtMs;
    record.countedMachines.push(machine);
  }

  /** Takes back the failures of a suspect job that were counted for machines. */
  private exonerate(record: JobRecord): void {
    for (const machine of record.countedMachines) {
      machine.consecutiveFailures = Math.max(0, machine.consecutiveFailures - 1);
    }
    record.countedMachines.length = 0;
  }

  private recordOf(job: string): JobRecord {
    let record = this.jobs.get(job);
    if (!record) this.jobs.set(job, (record = new JobRecord()));
    return record;
  }

  private failedJobsOn(host: string): Set<string> {
    let jobs = this.jobsByHost.get(host);
    if (!jobs) this.jobsByHost.set(host, (jobs = new Set()));
    return jobs;
  }
}
