/** Collects the changes that one scheduling round writes to the logs of the owned shards. */
import type { LogId, MachineStatus, RecordDraft } from '#cluster';
import type { RoundPlan } from '#scheduling';
import type { HeartbeatPosition, TaskCompletion } from '#workers';

/** The record drafts of one round, one for each shard with changes. */
export class ShardDrafts {
  private readonly draftsByShard = new Map<LogId, RecordDraft>();

  /** The drafts in the order in which the shards got their first change. Keyed by log, which is the shard number. */
  get byLog(): ReadonlyMap<LogId, RecordDraft> {
    return this.draftsByShard;
  }

  /** Adds the end of a task attempt on a machine of the shard. */
  addCompletion(shard: number, { placement, outcome }: TaskCompletion): void {
    const { job, index, attempt } = placement;
    (this.shardDraft(shard).completions ??= []).push([job, index, attempt, outcome]);
  }

  /** Adds the acquisition of a machine that another shard has released. */
  addAcquisition(shard: number, host: string): void {
    (this.shardDraft(shard).acquisitions ??= []).push(host);
  }

  /** Adds a change of the status of a machine of the shard. */
  addStatus(shard: number, host: string, status: MachineStatus): void {
    (this.shardDraft(shard).statuses ??= []).push([host, status]);
  }

  /** Adds the release of a machine, with the position that later owners compare heartbeats of its worker with. */
  addRelease(shard: number, host: string, heartbeat: HeartbeatPosition | null): void {
    (this.shardDraft(shard).releases ??= []).push([
      host,
      heartbeat ? [heartbeat.incarnation, heartbeat.sequence] : null,
    ]);
  }

  /** Adds the starts of a plan. The plan's prices and unmet demand are added to each shard that starts tasks. */
  addStarts({ starts, prices, unmetCpus }: RoundPlan): void {
    for (const [shard, groups] of starts) {
      const draft = this.draftsByShard.get(shard) ?? {};
      this.draftsByShard.set(shard, { ...draft, starts: groups, prices, unmetCpus });
    }
  }

  /** Returns the draft of the shard; creates it if there is none. */
  private shardDraft(shard: number): RecordDraft {
    let draft = this.draftsByShard.get(shard);
    if (!draft) this.draftsByShard.set(shard, (draft = {}));
    return draft;
  }
}
