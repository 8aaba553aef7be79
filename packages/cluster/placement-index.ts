/** Placements by machine, and what they use by team. */
import type { Placement, ResourceDemand } from './placement.js';

/** Follows the placements of a ledger, for queries by machine and by team. */
export class PlacementIndex {
  /** By host, then by task name. Machines without placements have no entry. */
  readonly byHost = new Map<string, Map<string, Placement>>();
  private readonly usageByTeam = new Map<string, ResourceDemand>();

  /** The placements on a machine, in the order of their starts. */
  onHost(host: string): Iterable<Placement> {
    return this.byHost.get(host)?.values() ?? [];
  }

  /** The resources that the placements of a team use together. */
  teamUsage(team: string): ResourceDemand {
    return this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0, memGb: 0 };
  }

  /** Adds a placement that is not there yet. */
  add(placement: Placement): void {
    let onHost = this.byHost.get(placement.host);
    if (!onHost) {
      onHost = new Map<string, Placement>();
      this.byHost.set(placement.host, onHost);
    }
    onHost.set(placement.taskName, placement);
    this.addUsage(placement, 1);
  }

  /** Removes a placement that is there. */
  remove(placement: Placement): void {
    const onHost = this.byHost.get(placement.host);
    onHost?.delete(placement.taskName);
    if (onHost?.size === 0) this.byHost.delete(placement.host);
    this.addUsage(placement, -1);
  }

  private addUsage({ team, cpus, gpus, memGb }: Placement, sign: 1 | -1): void {
    const usage = this.teamUsage(team);
    this.usageByTeam.set(team, {
      cpus: usage.cpus + sign * cpus,
      gpus: usage.gpus + sign * gpus,
      memGb: usage.memGb + sign * memGb,
    });
  }
}
