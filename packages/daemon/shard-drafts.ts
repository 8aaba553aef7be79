/** Collects what one scheduling round writes to the logs of several shards. */
import type { LogId, MachineStatus, RecordDraft } from '#cluster';
import type { RoundPlan } from '#scheduling';
import type { Heartbeat } from '#wire';
import type { TaskCompletion } from '#workers';

/** The record drafts of a round, one for each shard with changes. */
export class ShardDrafts {
  private readonly drafts = new Map<LogId, RecordDraft>();

  /** The drafts by log, in the order in which the shards got their first change. */
  get byLog(): ReadonlyMap<LogId, RecordDraft> {
    return this.drafts;
  }

  /** A task attempt ended on a machine of the shard. */
  addCompletion(shard: number, { placement, outcome }: TaskCompletion): void {
    const { job, index, attempt } = placement;
    (this.draft(shard).completions ??= []).push([job, index, attempt, outcome]);
  }

  /** The shard takes over a machine that another shard has released. */
  addAcquisition(shard: number, host: string): void {
    (this.draft(shard).acquisitions ??= []).push(host);
  }

  /** The status of a machine of the shard has changed. */
  addStatus(shard: number, host: string, status: MachineStatus): void {
    (this.draft(shard).statuses ??= []).push([host, status]);
  }

  /** The shard releases a machine whose worker sent this heartbeat last; null if none is known. */
  addRelease(shard: number, host: string, heartbeat: Heartbeat | null): void {
    (this.draft(shard).releases ??= []).push([
      host,
      heartbeat ? [heartbeat.incarnation, heartbeat.sequence] : null,
    ]);
  }

  /** The starts of a plan. The plan's prices and unmet demand go to each shard that starts tasks. */
  addStarts({ starts, prices, unmetCpus }: RoundPlan): void {
    for (const [shard, groups] of starts) {
      const draft = this.drafts.get(shard) ?? {};
      this.drafts.set(shard, { ...draft, starts: groups, prices, unmetCpus });
    }
  }

  private draft(shard: number): RecordDraft {
    let found = this.drafts.get(shard);
    if (!found) this.drafts.set(shard, (found = {}));
    return found;
  }
}
