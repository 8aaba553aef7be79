/** Indexes of the placements: by machine, and the resource usage by team. */
import type { Placement, ResourceDemand } from './placement.js';

/** Indexes the placements of a ledger for queries by machine and by team. */
export class PlacementIndex {
  /** Keyed by host, then by task name. Machines without placements have no entry. */
  readonly byHost = new Map<string, Map<string, Placement>>();
  /** Keyed by team. */
  private readonly usageByTeam = new Map<string, ResourceDemand>();

  /** Returns the placements on a machine, in the order of their starts. */
  onHost(host: string): Iterable<Placement> {
    return this.byHost.get(host)?.values() ?? [];
  }

  /** Returns the sum of the resources that a team's placements use. */
  teamUsage(team: string): ResourceDemand {
    return this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0, memGb: 0 };
  }

  /** Adds a placement, which must not be in the index. */
  add(placement: Placement): void {
    let onHost = this.byHost.get(placement.host);
    if (!onHost) {
      onHost = new Map<string, Placement>();
      this.byHost.set(placement.host, onHost);
    }
    onHost.set(placement.taskName, placement);
    this.addUsage(placement, 1);
  }

  /** Removes a placement, which must be in the index. */
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
