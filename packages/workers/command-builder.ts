/** The commands that the answer to a heartbeat carries. */
import type { Ledger, LiveJob, Placement } from '#cluster';
import { type Command, countsEqual, parseTaskName, type TaskStatus } from '#wire';
import type { StopRequests } from './stop-requests.js';
import { attemptKey, type TrackedWorker } from './tracked-worker.js';

/** Placements and live jobs as this node has read them from the logs. */
export interface RecordedState {
  readonly ledger: Ledger;
  readonly jobs: ReadonlyMap<string, LiveJob>;
}

/** What the commands of one answer are built from. */
export interface CommandContext extends RecordedState {
  /** Starts may be sent: the recorded state is recent enough. */
  readonly allowsStarts: boolean;
}

/** The placement that a task in a worker's heartbeat belongs to; null if the logs have no such attempt on that machine. */
export function findPlacement(ledger: Ledger, host: string, task: TaskStatus): Placement | null {
  const name = parseTaskName(task.task);
  const placement = name ? ledger.placement(name.job, name.index) : undefined;
  if (placement?.host !== host || !countsEqual(placement.attempt, task.attempt)) return null;
  return placement;
}

/** Compares what a worker runs with what the logs say it should run. */
export class CommandBuilder {
  constructor(private readonly stopRequests: StopRequests) {}

  /** The commands for a worker that has just sent a heartbeat. The starts among them are noted in `deliveredStarts`. */
  build(worker: TrackedWorker, context: CommandContext): Command[] {
    const { host, tasks } = worker.heartbeat;
    const commands: Command[] = [];
    const placedTasks = new Set<string>();
    for (const task of tasks) {
      const placement = findPlacement(context.ledger, host, task);
      if (placement) placedTasks.add(task.task);
      const command = this.commandFor(task, placement, context);
      if (command) commands.push(command);
    }
    if (context.allowsStarts) commands.push(...this.starts(worker, context, placedTasks));
    return commands;
  }

  /**
   * Whether a placement that the worker doesn't report is to be started there. It isn't when its job is over, its machine
   * is being reclaimed or it was requested to stop, none of which is ever undone; nor while its gang is incomplete. A gang
   * whose other tasks are yet to be recorded may still become complete; one that lost a task stays incomplete.
   */
  isStartWanted(placement: Placement, worker: TrackedWorker, { ledger, jobs }: RecordedState): boolean {
    if (!jobs.has(placement.job) || worker.reclaimAt !== null) return false;
    return !this.stopRequests.has(placement) && ledger.isGangComplete(placement);
  }

  /** The command for a task that the worker reports; null if it is to go on as it is. */
  private commandFor(
    { task, attempt, state }: TaskStatus,
    placement: Placement | null,
    context: RecordedState,
  ): Command | null {
    if (state === 'exited') {
      // A worker that was told to forget an attempt no longer knows how it ended: only once that is in the log.
      return placement ? null : { kind: 'forget', task, attempt };
    }
    if (!placement || !context.jobs.has(placement.job)) return { kind: 'stop', task, attempt, graceS: 0 };
    // A task that saves ends by itself; otherwise the rest of a gang that lost a task can do nothing more.
    if (state === 'saving') return null;
    if (!context.ledger.isGangComplete(placement)) return { kind: 'stop', task, attempt, graceS: 0 };
    if (!this.stopRequests.has(placement)) return null;
    return { kind: 'stop', task, attempt, graceS: this.stopRequests.graceS(task) };
  }

  private starts(worker: TrackedWorker, context: RecordedState, placedTasks: ReadonlySet<string>): Command[] {
    const { host, incarnation } = worker.heartbeat;
    const commands: Command[] = [];
    for (const placement of context.ledger.placementsOn(host)) {
      const { taskName, attempt } = placement;
      if (placedTasks.has(taskName) || !this.isStartWanted(placement, worker, context)) continue;
      // Decided for an earlier incarnation: its resources may have changed hands since.
      if (!countsEqual(placement.workerIncarnation, incarnation)) continue;
      worker.deliveredStarts.add(attemptKey(taskName, attempt));
      commands.push({ kind: 'start', task: taskName, attempt });
    }
    return commands;
  }
}
