/** Builds the commands that a heartbeat response carries. */
import type { Ledger, LiveJob, Placement } from '#cluster';
import { type Command, countsEqual, MAX_COMMANDS_PER_RESPONSE, parseTaskName, type TaskStatus } from '#wire';
import type { StopRequests } from './stop-requests.js';
import { attemptKey, type TrackedWorker } from './tracked-worker.js';

/** The placements and the live jobs that this node has read from the logs. */
export interface RecordedState {
  readonly ledger: Ledger;
  /** Keyed by job id. */
  readonly jobs: ReadonlyMap<string, LiveJob>;
}

/** The recorded state that the commands of one heartbeat response are built from. */
export interface CommandContext extends RecordedState {
  /** True if the recorded state is recent enough to send start commands. */
  readonly allowsStarts: boolean;
}

/** What the start commands of one heartbeat response are built from. */
interface StartContext {
  readonly worker: TrackedWorker;
  readonly context: CommandContext;
  /** Names of the reported tasks that have a placement. */
  readonly placed: ReadonlySet<string>;
}

/** Returns the placement of a task in a heartbeat, or null if the logs have no such attempt on that machine. */
export function findPlacement(ledger: Ledger, host: string, task: TaskStatus): Placement | null {
  const name = parseTaskName(task.task);
  const placement = name ? ledger.placement(name.job, name.index) : undefined;
  if (placement?.host !== host || !countsEqual(placement.attempt, task.attempt)) return null;
  return placement;
}

/** Builds commands by comparing the tasks that a worker reports with the placements in the logs. */
export class CommandBuilder {
  constructor(private readonly stopRequests: StopRequests) {}

  /** Builds the commands for a worker that has just sent a heartbeat. Adds the start commands to its `sentStarts`. */
  build(worker: TrackedWorker, context: CommandContext): Command[] {
    const { host, tasks } = worker.heartbeat;
    const commands: Command[] = [];
    const placed = new Set<string>();
    for (const task of tasks) {
      const placement = findPlacement(context.ledger, host, task);
      if (placement) placed.add(task.task);
      const command = this.commandFor(task, placement, context);
      // What a response can't carry follows in the next one, since commands are derived from each heartbeat anew.
      if (command && commands.length < MAX_COMMANDS_PER_RESPONSE) commands.push(command);
    }
    if (context.allowsStarts) this.addStarts(commands, { worker, context, placed });
    return commands;
  }

  /**
   * Returns true if a placement that the worker doesn't report should be started on the worker. The start isn't
   * wanted if the job has ended, the machine is being reclaimed or a stop was requested. None of these is ever
   * undone. Nor is the start wanted while the gang is incomplete. A gang whose other tasks haven't been recorded yet
   * may still become complete. A gang that lost a task stays incomplete.
   */
  isStartWanted(placement: Placement, worker: TrackedWorker, { ledger, jobs }: RecordedState): boolean {
    if (!jobs.has(placement.job) || worker.reclaimAt !== null) return false;
    return !this.stopRequests.has(placement) && ledger.isGangComplete(placement);
  }

  /** Returns the command for a task that the worker reports, or null if the task needs no command. */
  private commandFor(
    { task, attempt, state }: TaskStatus,
    placement: Placement | null,
    context: RecordedState,
  ): Command | null {
    if (state === 'exited') {
      // A worker that has forgotten an attempt can't report its outcome again, so the outcome must be in the log first.
      return placement ? null : { kind: 'forget', task, attempt };
    }
    if (!placement || !context.jobs.has(placement.job)) return { kind: 'stop', task, attempt, graceS: 0 };
    // A task that is saving a checkpoint exits without a command. Any other task of a gang that lost a task is stopped,
    // because it can make no progress.
    if (state === 'saving') return null;
    if (!context.ledger.isGangComplete(placement)) return { kind: 'stop', task, attempt, graceS: 0 };
    if (!this.stopRequests.has(placement)) return null;
    return { kind: 'stop', task, attempt, graceS: this.stopRequests.graceS(task) };
  }

  /** Adds the start commands, up to the number of commands that a response can carry. */
  private addStarts(commands: Command[], { worker, context, placed }: StartContext): void {
    const { host, incarnation } = worker.heartbeat;
    for (const placement of context.ledger.placementsOn(host)) {
      if (commands.length >= MAX_COMMANDS_PER_RESPONSE) return;
      const { taskName, attempt } = placement;
      if (placed.has(taskName) || !this.isStartWanted(placement, worker, context)) continue;
      // A placement for an earlier incarnation is not started: its resources may have been allocated to other tasks
      // since.
      if (!countsEqual(placement.workerIncarnation, incarnation)) continue;
      worker.sentStarts.add(attemptKey(taskName, attempt));
      commands.push({ kind: 'start', task: taskName, attempt });
    }
  }
}
