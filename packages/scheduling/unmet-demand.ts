/** The unmet demand that a round leaves: tasks within their team's limit for which no machine had capacity. */
import type { UnmetDemand } from '#fleet';
import type { PendingJob, PricingRoundResult } from '#pricing';

/**
 * Returns the tasks for which no machine had capacity, sorted by priority and then by order of acceptance. A gang that
 * must run in one zone is returned with the zone that suits it best, another job with zone constraints with the tasks that
 * already use up a part of what each zone may take.
 */
export function unmetDemandOf(
  jobs: readonly PendingJob[],
  { unmetTaskCounts, preferredZones, tasksByZone }: PricingRoundResult,
): UnmetDemand[] {
  return jobs
    .filter(({ id }) => (unmetTaskCounts.get(id) ?? 0) > 0)
    .sort((a, b) => b.priority - a.priority || a.acceptanceOrder - b.acceptanceOrder)
    .map((job): UnmetDemand => {
      const count = unmetTaskCounts.get(job.id) ?? 0;
      const zone = preferredZones.get(job.id);
      if (zone !== undefined) return { job: { ...job, zone }, count, canUseOtherZones: job.zone === null };
      const placedByZone = tasksByZone.get(job.id);
      return { job: placedByZone ? { ...job, placedByZone } : job, count };
    });
}

/** Returns the CPUs that the unmet demand of each team requires. Keyed by team. */
export function unmetCpusByTeam(unmetDemand: readonly UnmetDemand[]): Map<string, number> {
  const unmetCpus = new Map<string, number>();
  for (const { job, count } of unmetDemand) {
    unmetCpus.set(job.team, (unmetCpus.get(job.team) ?? 0) + count * job.taskResources.cpus);
  }
  return unmetCpus;
}
