/** One scheduling round over the shards that this node owns: plan, commit the plan, and complete finished jobs. */
import type { Logger, LogId, LogWriter, MachineEntry, RecordDraft, Replica } from '#cluster';
import type { RoundPlan, RunTimeEstimator, Scheduler } from '#scheduling';
import type { Clock, Micros } from '#wire';
import type { TaskCompletion, WorkerRegistry } from '#workers';
import type { PendingReleases } from './pending-releases.js';
import { ShardDrafts } from './shard-drafts.js';
import type { ShardOwnership } from './shard-ownership.js';

/** The phases of a round, in the order in which they occur. */
export type RoundPhase = 'planning' | 'committing' | 'finishing';

/** Dependencies of {@link ShardRound}. */
export interface ShardRoundOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly replica: Replica;
  readonly workers: WorkerRegistry;
  readonly ownership: ShardOwnership;
  readonly scheduler: Scheduler;
  readonly runTimeEstimator: RunTimeEstimator;
  readonly logWriter: LogWriter;
  readonly pendingReleases: PendingReleases;
}

/** The result of the planning phase, to be committed. */
interface PlannedRound {
  readonly completions: readonly TaskCompletion[];
  readonly drafts: ReadonlyMap<LogId, RecordDraft>;
}

/** Runs scheduling rounds: each writes one placement record for every owned shard that has changes. */
export class ShardRound {
  /** Duration of the last planning phase, which blocks the process. */
  planningTime: Micros = 0;

  constructor(private readonly options: ShardRoundOptions) {}

  /**
   * Runs one round.
   *
   * @param isFresh - true if the replica is recent enough for new starts; if false, nothing is planned
   * @param onPhase - called at the beginning of each phase
   */
  async run(isFresh: boolean, onPhase: (phase: RoundPhase) => void): Promise<void> {
    const { ownership, logWriter, pendingReleases } = this.options;
    const shards = new Set(ownership.ownedShards().keys());
    ownership.syncWorkers();
    if (shards.size === 0 || !isFresh) return;
    onPhase('planning');
    const { completions, drafts } = this.plan(shards);
    if (drafts.size > 0) {
      onPhase('committing');
      // One owner makes all starts of a team, which enforces the team's limit. The commit therefore depends on the
      // ownership of every planned shard.
      const isApplied = await logWriter.append(drafts, [...shards]);
      pendingReleases.settle(drafts, isApplied);
      if (!isApplied) return;
      for (const completion of completions) this.onCompletionCommitted(completion);
    }
    onPhase('finishing');
    const completedJobs = this.findCompletedJobs(shards);
    if (completedJobs.length > 0) await logWriter.completeJobs(completedJobs, [...shards]);
  }

  private plan(shards: ReadonlySet<number>): PlannedRound {
    const { clock, replica, workers, scheduler } = this.options;
    const startedAt = clock.now();
    workers.updateLiveness(startedAt, replica.ledger);
    const completions = workers.findCompletions(replica.ledger, replica.jobs, startedAt);
    const drafts = this.draftMachineChanges(shards, completions);
    const plan = scheduler.plan(completions, shards);
    this.planningTime = clock.now() - startedAt;
    drafts.addStarts(plan);
    this.preempt(plan);
    return { completions, drafts: drafts.byLog };
  }

  /** Drafts the completions, the changes of machine status, and the acquisitions and releases of machines. */
  private draftMachineChanges(
    shards: ReadonlySet<number>,
    completions: readonly TaskCompletion[],
  ): ShardDrafts {
    const { ledger } = this.options.replica;
    const now = this.options.clock.now();
    const drafts = new ShardDrafts();
    for (const completion of completions) {
      const shard = ledger.machines.get(completion.placement.host)?.shard ?? null;
      if (shard !== null) drafts.addCompletion(shard, completion);
    }
    for (const machine of ledger.machines.values()) {
      const { host, shard, destination } = machine;
      if (shard === null) {
        if (typeof destination === 'number' && shards.has(destination))
          drafts.addAcquisition(destination, host);
        continue;
      }
      if (!shards.has(shard)) continue;
      const status = this.options.workers.machineStatus(machine, now);
      if (status !== machine.status) drafts.addStatus(shard, host, status);
      if (this.isReleasable(machine)) this.draftRelease(drafts, host, shard);
    }
    return drafts;
  }

  /** True if the machine has a destination and may be released now: for scale-in, only once nothing can run on it. */
  private isReleasable({ host, destination }: MachineEntry): boolean {
    if (destination === null) return false;
    return destination !== 'scale_in' || !this.options.replica.ledger.placementsByHost.has(host);
  }

  private draftRelease(drafts: ShardDrafts, host: string, shard: number): void {
    drafts.addRelease(shard, host, this.options.workers.releasePosition(host));
    this.options.pendingReleases.add(host, shard);
  }

  private preempt({ preemptions }: RoundPlan): void {
    for (const { placement, graceS } of preemptions) {
      const { taskName: task, host, attempt } = placement;
      this.options.log.info({ task, host, attempt, graceS }, 'task preempted');
      this.options.workers.requestStop(placement, graceS);
    }
  }

  private onCompletionCommitted(completion: TaskCompletion): void {
    this.options.runTimeEstimator.onCompletion(completion);
    const { placement, outcome } = completion;
    if (outcome === 'done') return;
    const { taskName: task, host, attempt } = placement;
    this.options.log.info({ task, host, attempt, outcome }, 'task attempt ended');
  }

  /** Returns the jobs of owned shards whose tasks are all done. */
  private findCompletedJobs(shards: ReadonlySet<number>): Parameters<LogWriter['completeJobs']>[0] {
    const { replica, scheduler } = this.options;
    return [...replica.jobs].filter(([id, job]) => {
      const done = replica.ledger.jobs.get(id)?.done.count ?? 0;
      return done >= job.spec.taskCount && shards.has(scheduler.shardOfTeam(job.spec.team));
    });
  }
}
