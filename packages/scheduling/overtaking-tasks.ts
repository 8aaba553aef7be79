/**
 * Running tasks that took their team's limit while a job of higher rank waited for machines. They end without being
 * replaced once the machines are there, so the job's machines are requested as if they had ended already.
 */
import type { LiveJob, Placement, Replica } from '#cluster';
import { noResources, type Resources, subtractResources } from '#pricing';
import { RANKS } from '#wire';

/** Finds the running tasks that overtook a job, as the replica stands when a team is first asked about. */
export class OvertakingTasks {
  /** Keyed by team. Placements of the team's live jobs, last started first. */
  private readonly placementsByTeam = new Map<string, readonly Placement[]>();

  constructor(private readonly replica: Replica) {}

  /** Returns the resources of tasks of the team that started after the job was accepted although they rank below it. */
  usedAheadOf(job: LiveJob): Resources {
    const used = noResources();
    for (const placement of this.placementsOf(job.spec.team)) {
      if (placement.startedAtMs <= job.acceptedAtMs) break;
      const other = this.replica.jobs.get(placement.job);
      if (other && ranksBelow(other, job)) subtractResources(used, placement, -1);
    }
    return used;
  }

  private placementsOf(team: string): readonly Placement[] {
    let placements = this.placementsByTeam.get(team);
    if (!placements) this.placementsByTeam.set(team, (placements = this.collectPlacements(team)));
    return placements;
  }

  private collectPlacements(team: string): Placement[] {
    const { jobs, ledger } = this.replica;
    const placements: Placement[] = [];
    for (const [id, { spec }] of jobs) {
      if (spec.team === team) placements.push(...(ledger.jobs.get(id)?.placements.values() ?? []));
    }
    return placements.sort((a, b) => b.startedAtMs - a.startedAtMs);
  }
}

/** True if the job has a lower rank, or the same one and was accepted later. */
function ranksBelow(job: LiveJob, other: LiveJob): boolean {
  const difference = RANKS.indexOf(job.spec.rank) - RANKS.indexOf(other.spec.rank);
  return difference < 0 || (difference === 0 && job.acceptedRevision > other.acceptedRevision);
}
