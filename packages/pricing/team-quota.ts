/**
 * What a team may still use of its limit and of its guarantee in one round, and what its waiting jobs claim of both.
 *
 * A firm claim is made for tasks that can be placed now. A provisional claim is made for tasks whose machines may still be
 * booting: it holds back only jobs accepted within MAX_RESERVATION_TIME, so that capacity which nobody uses is not withheld
 * for long.
 */
import { type Micros } from '#wire';
import { MAX_RESERVATION_TIME } from './reservation.js';
import { countFitting, fits, noResources, RESOURCE_TOLERANCE, subtractResources } from './resources.js';
import type { PendingJob, Resources, TeamUsage } from './types.js';

/** A claim of one job on its team's quota, in tasks. */
export interface QuotaClaim {
  /** Tasks that are subtracted from the limit for all jobs of lower rank. The limit may become negative. */
  readonly firm: number;
  /** Tasks that are subtracted only for jobs of lower rank that were accepted within MAX_RESERVATION_TIME. */
  readonly provisional: number;
  /** How many of the firm tasks count against the guarantee too. */
  readonly firmWithinGuarantee: number;
}

/** What is left of one bound of a team: its limit or its guarantee. */
class RemainingBound {
  /** Left after the firm claims. */
  private readonly left: Resources;
  /** Left after the provisional claims as well. */
  private readonly leftForRecentJobs: Resources;

  constructor(bound: { readonly cpus: number; readonly gpus: number }, used: Resources) {
    this.left = { cpus: bound.cpus - used.cpus, gpus: bound.gpus - used.gpus, memGb: Infinity };
    this.leftForRecentJobs = { ...this.left };
  }

  /** Returns how many tasks of the job fit, at most the job's pending tasks. `share`: resources that are free for it alone. */
  countFitting(job: PendingJob, share: Resources = noResources()): number {
    const left = { ...(isRecent(job) ? this.leftForRecentJobs : this.left) };
    subtractResources(left, share, -1);
    return Math.min(job.pendingTaskCount, countFitting(job.taskResources, left));
  }

  get isUsedUp(): boolean {
    return this.left.cpus <= RESOURCE_TOLERANCE;
  }

  isExceededBy(demand: Resources): boolean {
    return !fits({ ...demand, memGb: 0 }, this.left);
  }

  subtract(demand: Resources, { firm, provisional }: { firm: number; provisional: number }): void {
    subtractResources(this.left, demand, firm);
    subtractResources(this.leftForRecentJobs, demand, firm + provisional);
  }
}

/** The quota of one team in one round. */
export class TeamQuota {
  private readonly limit: RemainingBound;
  private readonly guarantee: RemainingBound;
  /** Resources of running tasks that count as free for jobs which they overtook, and that such jobs were given. */
  private readonly overtakenGiven = noResources();

  constructor(team: TeamUsage) {
    this.limit = new RemainingBound(team.limit, team.used);
    this.guarantee = new RemainingBound(team.guaranteed, team.used);
  }

  /**
   * True if the pending tasks of the jobs exceed what is left of the limit or of the guarantee, so that claims matter. A
   * guarantee that is used up is no reason.
   */
  isContended(jobs: readonly PendingJob[]): boolean {
    const demand = noResources();
    for (const job of jobs) subtractResources(demand, job.taskResources, -job.pendingTaskCount);
    return (
      this.limit.isExceededBy(demand) || (!this.guarantee.isUsedUp && this.guarantee.isExceededBy(demand))
    );
  }

  /** True if no CPU is left of the limit, so that further claims hold back nothing. */
  get isUsedUp(): boolean {
    return this.limit.isUsedUp;
  }

  /**
   * Returns how many pending tasks of the job fit the limit, and how many of these the guarantee. Called once for each job,
   * those of higher rank first.
   */
  fittingTasks(job: PendingJob): { count: number; guaranteedCount: number } {
    const fittingCount = wholeGang(job, this.limit.countFitting(job));
    const count = fittingCount + this.takeOvertakenShare(job, fittingCount);
    const guaranteedCount = wholeGang(job, Math.min(count, this.guarantee.countFitting(job)));
    return { count, guaranteedCount };
  }

  claim(job: PendingJob, { firm, provisional, firmWithinGuarantee }: QuotaClaim): void {
    this.limit.subtract(job.taskResources, { firm, provisional });
    this.guarantee.subtract(job.taskResources, { firm: firmWithinGuarantee, provisional });
  }

  /**
   * Returns how many more tasks fit if the tasks that overtook the job count as free. What one job gets of them is not
   * given to another.
   */
  private takeOvertakenShare(job: PendingJob, fittingCount: number): number {
    if (!job.overtakenBy || fittingCount === job.pendingTaskCount) return 0;
    const share = job.overtakenBy();
    subtractResources(share, this.overtakenGiven, 1);
    const cpus = Math.max(0, share.cpus);
    const gpus = Math.max(0, share.gpus);
    const count = wholeGang(job, this.limit.countFitting(job, { cpus, gpus, memGb: 0 }));
    subtractResources(this.overtakenGiven, job.taskResources, fittingCount - count);
    return count - fittingCount;
  }
}

/** Returns the fitting tasks of which the job may start some: for a gang all of its tasks or none. */
function wholeGang(job: PendingJob, fittingCount: number): number {
  return job.isGang && fittingCount < job.pendingTaskCount ? 0 : fittingCount;
}

/** True if provisional claims of other jobs hold the job back. */
function isRecent({ age = 0 }: { readonly age?: Micros }): boolean {
  return age < MAX_RESERVATION_TIME;
}
