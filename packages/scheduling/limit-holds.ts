/** Tracks for how long claims on a team's limit have held back jobs of the team, across the rounds of this node. */
import { MAX_HOLD_TIME } from '#pricing';
import type { Clock, Micros } from '#wire';

/** The teams that are being held back. A new owner of a team begins to count anew. */
export class LimitHolds {
  /** Monotonic time of the first round in a row that held the team back. Keyed by team. */
  private readonly heldSince = new Map<string, Micros>();

  constructor(private readonly clock: Clock) {}

  /** Takes the teams that a round held back. */
  observe(heldTeams: ReadonlySet<string>): void {
    const now = this.clock.now();
    for (const team of this.heldSince.keys()) if (!heldTeams.has(team)) this.heldSince.delete(team);
    for (const team of heldTeams) if (!this.heldSince.has(team)) this.heldSince.set(team, now);
  }

  /** True if the team has been held back for MAX_HOLD_TIME. */
  isHeldTooLong(team: string): boolean {
    const since = this.heldSince.get(team);
    return since !== undefined && this.clock.now() - since >= MAX_HOLD_TIME;
  }
}
