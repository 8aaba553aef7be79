/** Splits pending tasks into segments that rank alike, within the limits of their teams. */
import { countFitting, subtractResources } from './resources.js';
import { isFeasible, type ShapePool } from './shape-pools.js';
import type { Resources, PricingRoundInput, TeamUsage, PendingJob } from './types.js';

/** Tasks of one job that rank alike: those within their team's guarantee, or those beyond it. */
export interface Segment {
  readonly job: PendingJob;
  /** Before prices; within a guarantee it is raised. */
  readonly priority: number;
  /** Tasks, at least one. */
  readonly count: number;
}

/** What the segments of all teams are built with. */
interface Ranking {
  readonly pools: readonly ShapePool[];
  readonly weightedPriority: (job: PendingJob) => number;
  /** Added to the rank of tasks within their team's guarantee. */
  readonly guaranteeBonus: number;
}

/**
 * Splits pending tasks into segments and leaves out what lies beyond its team's limit. A team's jobs come in
 * the order of their priority, equal ones in the order in which they were accepted.
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
      // A gang beyond what remains of the limit holds back what ranks lower: task by task, that would never leave it enough.
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

/** How many of so many fitting tasks are of use: of a gang all or none. */
function placeableCount(job: PendingJob, fittingCount: number): number {
  return job.isGang && fittingCount < job.pendingTaskCount ? 0 : fittingCount;
}

/**
 * Whether the job's tasks count against its team's limit. One that no machine up at present is feasible for is
 * counted only for as long as a machine takes to boot: what it holds back for longer would stay idle
 * (docs/incidents/upgrade-132.md).
 */
function countsAgainstLimit(job: PendingJob, pools: readonly ShapePool[]): boolean {
  return job.isOverdue !== true || pools.some((pool) => isFeasible(job, pool));
}
