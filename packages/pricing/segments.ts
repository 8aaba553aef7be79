/** Splits pending tasks into segments of equal priority, within the limits of their teams. */
import { PlaceableCounter } from './placeable-tasks.js';
import type { ShapePool } from './shape-pools.js';
import { type QuotaClaim, TeamQuota } from './team-quota.js';
import type { PricingRoundInput, TeamUsage, PendingJob } from './types.js';

/** Tasks of one job with equal priority: either those within their team's guarantee or those above it. */
export interface Segment {
  readonly job: PendingJob;
  /** Priority before prices are subtracted. It is raised for tasks within their team's guarantee. */
  readonly priority: number;
  /** Number of tasks; at least 1. */
  readonly count: number;
}

/** Values shared by all teams when their segments are built. */
interface Ranking {
  readonly counter: PlaceableCounter;
  readonly weightedPriority: (job: PendingJob) => number;
  /** Added to the priority of tasks within their team's guarantee. */
  readonly guaranteeBonus: number;
}

/**
 * Splits pending tasks into segments and leaves out tasks above their team's limit. The jobs of a team are ordered by
 * priority, and by order of acceptance if their priorities are equal.
 */
export function segmentsWithinLimits(input: PricingRoundInput, pools: readonly ShapePool[]): Segment[] {
  const { gpuTaskWeight, guaranteeWeight } = input.options;
  const weightedPriority = (job: PendingJob): number =>
    job.priority * (job.taskResources.gpus > 0 ? 1 + gpuTaskWeight : 1);
  const highestPriority = Math.max(1, ...input.jobs.map(weightedPriority));
  const ranking = {
    counter: new PlaceableCounter(pools),
    weightedPriority,
    guaranteeBonus: guaranteeWeight * highestPriority,
  };
  return input.teams.flatMap((team) => {
    const jobs = input.jobs.filter((job) => job.team === team.name);
    return segmentsOfTeam(team, jobs, ranking);
  });
}

function segmentsOfTeam(team: TeamUsage, jobs: PendingJob[], ranking: Ranking): Segment[] {
  const { counter, weightedPriority, guaranteeBonus } = ranking;
  const quota = new TeamQuota(team);
  const claims = new ClaimPolicy(counter);
  const isContended = quota.isContended(jobs);
  const segments: Segment[] = [];
  const rankedJobs = jobs.sort(
    (a, b) => weightedPriority(b) - weightedPriority(a) || a.acceptanceOrder - b.acceptanceOrder,
  );
  for (const job of rankedJobs) {
    const { count, guaranteedCount } = quota.fittingTasks(job);
    if (isContended && !quota.isUsedUp) quota.claim(job, claims.claimOf(job, count));
    if (guaranteedCount > 0)
      segments.push({ job, priority: weightedPriority(job) + guaranteeBonus, count: guaranteedCount });
    if (count > guaranteedCount)
      segments.push({ job, priority: weightedPriority(job), count: count - guaranteedCount });
  }
  return segments;
}

/**
 * Decides what the waiting jobs of one team claim of its quota, in the order of their rank. Tasks that cannot be placed
 * now hold nothing back for long, whatever the reason: other jobs of the team would wait beside machines with capacity
 * (docs/incidents/claims-without-machines.md).
 */
class ClaimPolicy {
  /** True once a job of the team keeps a share for the time when capacity becomes free. */
  private hasFoothold = false;

  constructor(private readonly counter: PlaceableCounter) {}

  /** `fittingCount`: how many tasks of the job fit what jobs of higher rank left of the limit. */
  claimOf(job: PendingJob, fittingCount: number): QuotaClaim {
    const usable = this.usableCount(job);
    // A gang, or a single task, that exceeds what is left of the limit still uses it up. Otherwise tasks of lower rank would
    // take each CPU that becomes free and never leave enough for it.
    const firm = job.isGang ? usable : Math.min(usable, Math.max(1, fittingCount));
    // Machines for an overdue job no longer count as booting, so it holds back nothing for their sake.
    const provisional = job.isOverdue === true ? 0 : Math.max(0, wantedCount(job, fittingCount) - firm);
    return { firm, provisional, firmWithinGuarantee: Math.min(firm, fittingCount) };
  }

  /**
   * Returns the number of tasks that can be placed now. If there are none, but the machines could take the job once their
   * tasks have ended, it is one task, or the gang. Otherwise tasks of lower rank would take the limit one by one, and a
   * large task or a gang would find either the limit or the machines used up for good. One job of the team at a time has
   * this foothold, so that it holds back little.
   */
  private usableCount(job: PendingJob): number {
    const { now, onceEmpty } = this.counter.count(job);
    if (now > 0 || onceEmpty === 0 || this.hasFoothold) return now;
    this.hasFoothold = true;
    return job.isGang ? job.pendingTaskCount : 1;
  }
}

/** Returns the tasks that a job claims if it gets machines: a gang all of them, even if the limit is too small for it. */
function wantedCount(job: PendingJob, fittingCount: number): number {
  return job.isGang ? job.pendingTaskCount : fittingCount;
}
