/**
 * Finds the placements that are off their machines for certain. Only such a task may be recorded as ended, since it may
 * be placed elsewhere at once: a wrong proof here lets a task run twice.
 */
import type { Ledger, Outcome, Placement } from '#cluster';
import { type ExitCause, countsEqual, type Micros, type TaskStatus } from '#wire';
import type { CommandBuilder, RecordedState } from './command-builder.js';
import type { MachineOwnership, OwnedMachines } from './machine-ownership.js';
import type { StopRequests } from './stop-requests.js';
import { attemptKey, type TrackedWorker } from './tracked-worker.js';
import { isLeaseExpired } from './worker-liveness.js';
import { type WorkerTimeouts, withDrift } from './worker-timeouts.js';

/** A placement that is proven off its machine, and how it ended. */
export interface TaskCompletion {
  readonly placement: Placement;
  readonly outcome: Outcome;
}

/** What the detector examines. */
export interface CompletionSources {
  readonly machines: OwnedMachines;
  readonly workers: ReadonlyMap<string, TrackedWorker>;
  readonly stopRequests: StopRequests;
  readonly commandBuilder: CommandBuilder;
  readonly limits: WorkerTimeouts;
}

/** A worker with its machine's ownership and the recorded state at the time of the examination. */
interface WorkerView extends RecordedState {
  readonly worker: TrackedWorker;
  readonly ownership: MachineOwnership;
  readonly now: Micros;
}

/** Finds completions among the placements on the machines that this node owns. */
export class CompletionDetector {
  constructor(private readonly sources: CompletionSources) {}

  /** Every placement on an owned machine that is proven off it, in the order of acquisition of the machines. */
  find(state: RecordedState, now: Micros): TaskCompletion[] {
    const { ledger, jobs } = state;
    const completions: TaskCompletion[] = [];
    for (const [host, ownership] of this.sources.machines.entries()) {
      if (!ledger.placementsByHost.has(host)) continue;
      const worker = this.sources.workers.get(host);
      const found = worker
        ? this.findOnTracked({ worker, ownership, ledger, jobs, now })
        : this.findOnUntracked(host, ownership, { ledger, now });
      completions.push(...found);
    }
    return completions;
  }

  /**
   * No heartbeat since this node acquired the machine, so only an earlier owner can have renewed the worker's lease. Even
   * one that doesn't know that it is superseded stops at its renewal bound, which together with the lease ends within
   * `cancellationDeadline` after the acquisition: by then the worker has killed all of its tasks.
   */
  private findOnUntracked(
    host: string,
    ownership: MachineOwnership,
    { ledger, now }: { readonly ledger: Ledger; readonly now: Micros },
  ): TaskCompletion[] {
    if (now <= ownership.since + withDrift(this.sources.limits.cancellationDeadline)) return [];
    return Array.from(ledger.placementsOn(host), (placement) => ({ placement, outcome: 'lost' }));
  }

  private findOnTracked(view: WorkerView): TaskCompletion[] {
    const { host, tasks } = view.worker.heartbeat;
    const completions: TaskCompletion[] = [];
    const reportedTasks = new Map(tasks.map((task) => [task.task, task]));
    for (const placement of view.ledger.placementsOn(host)) {
      const outcome = this.outcomeOf(placement, reportedTasks.get(placement.taskName), view);
      if (!outcome) continue;
      completions.push({ placement, outcome });
      // A late commit may complete its gang before this completion is recorded: its start must stay unwanted even then.
      if (outcome === 'undelivered') this.sources.stopRequests.add(placement, 0);
    }
    return completions;
  }

  /** How a placement ended; null if nothing proves that it is off its machine. */
  private outcomeOf(placement: Placement, task: TaskStatus | undefined, view: WorkerView): Outcome | null {
    const { incarnation } = view.worker.heartbeat;
    if (!countsEqual(placement.workerIncarnation, incarnation)) {
      // A worker starts a new incarnation only after it has killed and forgotten all tasks of the earlier ones. A start
      // for an incarnation that is yet to be seen here proves nothing.
      return placement.workerIncarnation < incarnation ? 'lost' : null;
    }
    const reported = task !== undefined && countsEqual(task.attempt, placement.attempt) ? task : null;
    // The worker itself says that the task has exited.
    if (reported?.state === 'exited') return outcomeOfExit(reported.cause ?? 'failed');
    // A worker whose lease has expired has killed all of its tasks, also those that it reported before.
    if (isLeaseExpired(this.sources.limits, view)) return 'lost';
    if (reported) return null;
    return this.isNeverDelivered(placement, view) ? 'undelivered' : null;
  }

  /**
   * Whether a placement that is absent from the newest heartbeat can't start any more. All of these hold:
   *
   * - the worker has seen this owner's token, so no answer of an earlier owner can still take effect;
   * - a worker that has sent a newer heartbeat drops the answers to earlier ones, and the answer to the newest carried no
   *   start of it (`deliveredStarts`);
   * - its start isn't wanted, and stays unwanted (the caller requests a stop to that end), so no later answer carries it.
   */
  private isNeverDelivered(placement: Placement, view: WorkerView): boolean {
    const { worker } = view;
    const wasDelivered = worker.deliveredStarts.has(attemptKey(placement.taskName, placement.attempt));
    if (!worker.hasSeenToken || wasDelivered) return false;
    return !this.sources.commandBuilder.isStartWanted(placement, worker, view);
  }
}

/** How an exited task counts. The rest of a gang that came apart was stopped: neither task nor machine failed. */
function outcomeOfExit(cause: ExitCause): Outcome {
  switch (cause) {
    case 'done':
    case 'stopped':
    case 'failed':
      return cause;
    case 'peer_gone':
    case 'gang_incomplete':
      return 'stopped';
    case 'no_room':
    case 'duplicate':
    case 'unknown_task':
      return 'refused';
  }
}
