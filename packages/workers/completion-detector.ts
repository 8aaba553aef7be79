/**
 * Finds the placements whose tasks are proven stopped. Only a task that is proven stopped may be recorded as ended,
 * because it may be placed on another machine immediately afterwards. A wrong proof would let a task run twice.
 */
import type { Ledger, Outcome, Placement } from '#cluster';
import { type ExitCause, countsEqual, type Micros, type TaskStatus } from '#wire';
import type { CommandBuilder, RecordedState } from './command-builder.js';
import type { MachineOwnership, OwnedMachines } from './machine-ownership.js';
import type { StopRequests } from './stop-requests.js';
import { attemptKey, type TrackedWorker } from './tracked-worker.js';
import { isLeaseExpired } from './worker-liveness.js';
import { type WorkerTimeouts, withDriftMargin } from './worker-timeouts.js';

/** A placement whose task is proven stopped, and the outcome of the attempt. */
export interface TaskCompletion {
  readonly placement: Placement;
  readonly outcome: Outcome;
}

/** Dependencies of {@link CompletionDetector}. */
export interface CompletionDetectorOptions {
  readonly machines: OwnedMachines;
  /** The tracked workers. Keyed by host. */
  readonly workers: ReadonlyMap<string, TrackedWorker>;
  readonly stopRequests: StopRequests;
  readonly commandBuilder: CommandBuilder;
  readonly timeouts: WorkerTimeouts;
}

/** A worker, the ownership of its machine and the recorded state, as of the time `now`. */
interface WorkerView extends RecordedState {
  readonly worker: TrackedWorker;
  readonly ownership: MachineOwnership;
  /** The current monotonic time. */
  readonly now: Micros;
}

/** Finds completions among the placements on the machines that this node owns. */
export class CompletionDetector {
  constructor(private readonly options: CompletionDetectorOptions) {}

  /** Returns every placement whose task is proven stopped, in the order in which the machines were acquired. */
  find(state: RecordedState, now: Micros): TaskCompletion[] {
    const { ledger, jobs } = state;
    const completions: TaskCompletion[] = [];
    for (const [host, ownership] of this.options.machines.entries()) {
      if (!ledger.placementsByHost.has(host)) continue;
      const worker = this.options.workers.get(host);
      const found = worker
        ? this.findOnTracked({ worker, ownership, ledger, jobs, now })
        : this.findOnUntracked(host, ownership, { ledger, now });
      completions.push(...found);
    }
    return completions;
  }

  /**
   * Finds completions on a machine whose worker has sent no heartbeat since this node acquired the machine. Only an
   * earlier owner can have renewed the worker's lease. An earlier owner that doesn't know that it was superseded stops
   * renewing at its renewal bound. The renewal bound and the lease together end within `cancellationDeadline` after the
   * acquisition. By then the worker has killed all of its tasks.
   */
  private findOnUntracked(
    host: string,
    ownership: MachineOwnership,
    { ledger, now }: { readonly ledger: Ledger; readonly now: Micros },
  ): TaskCompletion[] {
    if (now <= ownership.since + withDriftMargin(this.options.timeouts.cancellationDeadline)) return [];
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
      // A late commit may complete the gang before this completion is recorded. The stop request ensures that the task
      // isn't started even then.
      if (outcome === 'undelivered') this.options.stopRequests.add(placement, 0);
    }
    return completions;
  }

  /** Returns how an attempt ended. Returns null if its task isn't proven stopped. */
  private outcomeOf(placement: Placement, task: TaskStatus | undefined, view: WorkerView): Outcome | null {
    const { incarnation } = view.worker.heartbeat;
    if (!countsEqual(placement.workerIncarnation, incarnation)) {
      // A worker starts a new incarnation only after it has killed and forgotten all tasks of the earlier incarnations.
      // A placement for an incarnation that this node hasn't seen yet proves nothing.
      return placement.workerIncarnation < incarnation ? 'lost' : null;
    }
    const reported = task !== undefined && countsEqual(task.attempt, placement.attempt) ? task : null;
    // The worker reports that the task has exited.
    if (reported?.state === 'exited') return outcomeOfExit(reported.cause ?? 'failed');
    // A worker whose lease has expired has killed all of its tasks, including those in its last heartbeat.
    if (isLeaseExpired(this.options.timeouts, view)) return 'lost';
    if (reported) return null;
    return this.isUndeliverable(placement, view) ? 'undelivered' : null;
  }

  /**
   * Returns true if a placement that is absent from the newest heartbeat can no longer be started. This requires:
   *
   * - The worker has seen this owner's fencing token, so it ignores any response of an earlier owner.
   * - The response to the newest heartbeat carried no start command for the placement (`sentStarts`). The worker drops
   *   the responses to its earlier heartbeats.
   * - The start isn't wanted and stays unwanted, so no later response carries it. The caller ensures that it stays
   *   unwanted by requesting a stop.
   */
  private isUndeliverable(placement: Placement, view: WorkerView): boolean {
    const { worker } = view;
    const wasStartSent = worker.sentStarts.has(attemptKey(placement.taskName, placement.attempt));
    if (!worker.hasSeenToken || wasStartSent) return false;
    return !this.options.commandBuilder.isStartWanted(placement, worker, view);
  }
}

/**
 * Returns the outcome of a task that exited for this cause. The remaining tasks of a gang that lost a task or that
 * never gathered count as stopped, because neither the task nor its machine failed.
 */
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
