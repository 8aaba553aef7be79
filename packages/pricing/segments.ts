/** Splits pending tasks into segments of equal priority, within the limits of their teams. */
import { countFitting, subtractResources } from './resources.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import type { Resources, PricingRoundInput, TeamUsage, PendingJob } from './types.js';

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
  readonly pools: readonly ShapePool[];
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
  const ranking = { pools, weightedPriority, guaranteeBonus: guaranteeWeight * highestPriority };
  return input.teams.flatMap((team) => {
    const jobs = input.jobs.filter((job) => job.team === team.name);
    return segmentsOfTeam(team, jobs, ranking);
  });
}

function segmentsOfTeam(team: TeamUsage, jobs: PendingJob[], ranking: Ranking): Segment[] {
  const { pools, weightedPriority, guaranteeBonus } = ranking;
  const remainingLimit = remainingQuota(team.limit, team.used);
  const remainingGuarantee = remainingQuota(team.guaranteed, team.used);
  const segments: Segment[] = [];
  const rankedJobs = jobs.sort(
    (a, b) => weightedPriority(b) - weightedPriority(a) || a.acceptanceOrder - b.acceptanceOrder,
  );
  for (const job of rankedJobs) {
    const fittingCount = Math.min(job.pendingTaskCount, countFitting(job.taskResources, remainingLimit));
    const count = placeableCount(job, fittingCount);
    const guaranteedCount = placeableCount(
      job,
      Math.min(count, countFitting(job.taskResources, remainingGuarantee)),
    );
    if (countsAgainstLimit(job, pools)) {
      // A gang that exceeds the remaining limit still uses it up, which holds back tasks of lower priority. Otherwise
      // these would take the limit task by task and never leave enough for the gang.
      subtractResources(remainingLimit, job.taskResources, job.isGang ? job.pendingTaskCount : count);
      subtractResources(remainingGuarantee, job.taskResources, count);
    }
    if (guaranteedCount > 0)
      segments.push({ job, priority: weightedPriority(job) + guaranteeBonus, count: guaranteedCount });
    if (count > guaranteedCount)
      segments.push({ job, priority: weightedPriority(job), count: count - guaranteedCount });
  }
  return segments;
}

function remainingQuota(bound: { readonly cpus: number; readonly gpus: number }, used: Resources): Resources {
  return { cpus: bound.cpus - used.cpus, gpus: bound.gpus - used.gpus, memGb: Infinity };
}

/** Returns how many of the fitting tasks may be placed: for a gang all of its tasks or none. */
function placeableCount(job: PendingJob, fittingCount: number): number {
  return job.isGang && fittingCount < job.pendingTaskCount ? 0 : fittingCount;
}

/**
 * True if the job's tasks count against its team's limit. A job without a feasible machine counts only for as long as a
 * machine takes to boot. After that, holding back the team's other jobs would leave capacity idle
 * (docs/incidents/upgrade-132.md).
 */
function countsAgainstLimit(job: PendingJob, pools: readonly ShapePool[]): boolean {
  return job.isOverdue !== true || pools.some((pool) => isFeasible(job, pool));
}
