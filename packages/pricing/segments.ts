/** Splits the waiting tasks into segments that rank alike, within the limits of their teams. */
import { slots, take } from './amounts.js';
import { isFeasible, type Pool } from './pools.js';
import type { Amounts, RoundInput, TeamBooks, WaitingJob } from './types.js';

/** Tasks of one job that rank alike: those within their team's guarantee, or those beyond it. */
export interface Segment {
  readonly job: WaitingJob;
  /** Before prices; within a guarantee it is raised. */
  readonly priority: number;
  /** Tasks, at least one. */
  readonly count: number;
}

/** What the segments of all teams are made by. */
interface Ranking {
  readonly pools: readonly Pool[];
  readonly rank: (job: WaitingJob) => number;
  /** Added to the rank of tasks within their team's guarantee. */
  readonly guaranteeBonus: number;
}

/**
 * Splits what waits into segments and leaves out what lies beyond its team's limit. A team's jobs come in
 * the order of their priority, equal ones in the order in which they were accepted.
 */
export function segmentsWithinLimits(input: RoundInput, pools: readonly Pool[]): Segment[] {
  const { gpuTaskWeight, guaranteeWeight } = input.options;
  const rank = (job: WaitingJob): number => job.priority * (job.need.gpus > 0 ? 1 + gpuTaskWeight : 1);
  const topRank = Math.max(1, ...input.jobs.map(rank));
  const ranking = { pools, rank, guaranteeBonus: guaranteeWeight * topRank };
  return input.teams.flatMap((team) => {
    const jobs = input.jobs.filter((job) => job.team === team.name);
    return segmentsOfTeam(team, jobs, ranking);
  });
}

function segmentsOfTeam(team: TeamBooks, jobs: WaitingJob[], ranking: Ranking): Segment[] {
  const { pools, rank, guaranteeBonus } = ranking;
  const limitLeft = remaining(team.most, team.used);
  const guaranteeLeft = remaining(team.guaranteed, team.used);
  const segments: Segment[] = [];
  const queue = jobs.sort((a, b) => rank(b) - rank(a) || a.order - b.order);
  for (const job of queue) {
    const fitting = Math.min(job.waiting, slots(job.need, limitLeft));
    const count = countable(job, fitting);
    const guaranteed = countable(job, Math.min(count, slots(job.need, guaranteeLeft)));
    if (holdsClaim(job, pools)) {
      // A gang that the limit has no room for yet holds back what ranks lower: one by one it would never get any.
      take(limitLeft, job.need, job.gang ? job.waiting : count);
      take(guaranteeLeft, job.need, count);
    }
    if (guaranteed > 0) segments.push({ job, priority: rank(job) + guaranteeBonus, count: guaranteed });
    if (count > guaranteed) segments.push({ job, priority: rank(job), count: count - guaranteed });
  }
  return segments;
}

function remaining(bound: { readonly cpus: number; readonly gpus: number }, used: Amounts): Amounts {
  return { cpus: bound.cpus - used.cpus, gpus: bound.gpus - used.gpus, memGb: Infinity };
}

/** How many of so many fitting tasks are of use: of a gang all or none. */
function countable(job: WaitingJob, fitting: number): number {
  return job.gang && fitting < job.waiting ? 0 : fitting;
}

/**
 * Whether the job's tasks count against its team's limit. One that no machine up at present is feasible for keeps its
 * claim only for as long as a machine takes to come up: what it holds back for longer would stand idle
 * (docs/incidents/upgrade-132.md).
 */
function holdsClaim(job: WaitingJob, pools: readonly Pool[]): boolean {
  return job.isOverdue !== true || pools.some((pool) => isFeasible(job, pool));
}
