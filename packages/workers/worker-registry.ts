/** Registry of the workers on the machines that a node owns. It is the entry point of this package. */
import type { Ledger, LiveJob, MachineEntry, MachineStatus, Placement } from '#cluster';
import type { Command, Heartbeat, Micros } from '#wire';
import { CommandBuilder, type CommandContext } from './command-builder.js';
import { CompletionDetector, type TaskCompletion } from './completion-detector.js';
import { isStaleForOwner, OwnedMachines, type OwnershipView } from './machine-ownership.js';
import { StopRequests } from './stop-requests.js';
import {
  type HeartbeatPosition,
  isNewerHeartbeat,
  trackHeartbeat,
  type TrackedWorker,
} from './tracked-worker.js';
import { trackedMachineStatus, untrackedMachineStatus, updateLiveness } from './worker-liveness.js';
import type { WorkerTimeouts } from './worker-timeouts.js';

/**
 * Tracks the workers on the machines that this node owns, detects task completions and builds the commands for the
 * workers. All times are monotonic times of this node's clock.
 */
export class WorkerRegistry {
  /** The workers that have sent a heartbeat since this node acquired their machine. Keyed by host. */
  readonly trackedWorkers = new Map<string, TrackedWorker>();
  private readonly machines = new OwnedMachines();
  private readonly stopRequests = new StopRequests();
  private readonly commandBuilder = new CommandBuilder(this.stopRequests);
  private readonly completionDetector: CompletionDetector;

  constructor(private readonly timeouts: WorkerTimeouts) {
    this.completionDetector = new CompletionDetector({
      machines: this.machines,
      workers: this.trackedWorkers,
      stopRequests: this.stopRequests,
      commandBuilder: this.commandBuilder,
      timeouts,
    });
  }

  /**
   * Updates which machines this node owns. Discards the tracked worker of each machine whose ownership ended, also if
   * this node acquired the machine again: commands that another owner sent to the worker in between are unknown.
   */
  syncOwnership(view: OwnershipView): void {
    for (const host of this.machines.sync(view)) this.trackedWorkers.delete(host);
  }

  /**
   * Processes a heartbeat. Returns false, and ignores the heartbeat, if this node doesn't own the machine, or if this
   * node or an earlier owner has already processed the same or a newer heartbeat of the worker.
   */
  onHeartbeat(heartbeat: Heartbeat, now: Micros): boolean {
    const { host } = heartbeat;
    const ownership = this.machines.get(host);
    const previous = this.trackedWorkers.get(host) ?? null;
    if (!ownership || (previous && !isNewerHeartbeat(heartbeat, previous.heartbeat))) return false;
    if (isStaleForOwner(ownership, heartbeat)) return false;
    const hasSeenToken = heartbeat.fencingToken >= ownership.fencingToken;
    this.trackedWorkers.set(host, trackHeartbeat({ heartbeat, previous, hasSeenToken, now }));
    this.machines.onHeartbeatProcessed(host, heartbeat);
    return true;
  }

  /** Returns the heartbeat position that a release of the machine records; see {@link OwnedMachines.releasePosition}. */
  releasePosition(host: string): HeartbeatPosition | null {
    return this.machines.releasePosition(host, this.trackedWorkers.get(host)?.hasSeenToken === true);
  }

  /** Records that a heartbeat response was sent to the worker. The response renews the worker's lease. */
  onResponseSent(host: string, now: Micros): void {
    const worker = this.trackedWorkers.get(host);
    if (worker) worker.respondedAt = now;
  }

  /** Returns the time until the worker can receive commands. It is 0 while a heartbeat awaits its response. */
  nextHeartbeatIn(host: string, now: Micros): Micros {
    const worker = this.trackedWorkers.get(host);
    if (!worker) return this.timeouts.heartbeatInterval;
    if (worker.respondedAt < worker.heartbeatAt) return 0;
    return Math.max(0, worker.heartbeatAt + this.timeouts.heartbeatInterval - now);
  }

  /** Requests the stop of an attempt, which gets `graceS` seconds to save a checkpoint and is never started again. */
  requestStop(placement: Placement, graceS: number): void {
    this.stopRequests.add(placement, graceS);
  }

  /** Returns true if a stop was requested for any task on this machine. */
  isPreempting(host: string, ledger: Ledger): boolean {
    if (this.stopRequests.isEmpty) return false;
    for (const placement of ledger.placementsOn(host)) if (this.isStopping(placement)) return true;
    return false;
  }

  /** Returns true if a stop was requested for this attempt. */
  isStopping(placement: Placement): boolean {
    return this.stopRequests.has(placement);
  }

  /** Updates the liveness of every worker and discards stop requests whose attempt has ended. */
  updateLiveness(now: Micros, ledger: Ledger): void {
    for (const [host, worker] of this.trackedWorkers) {
      updateLiveness(this.timeouts, { worker, ownership: this.machines.get(host), now });
    }
    this.stopRequests.discardEnded(ledger);
  }

  /**
   * Returns the status that the log should hold for a machine. `reclaimed`: the cloud reclaims the machine.
   * `quarantined`: too many tasks failed on it in a row. `lost`: its worker was unresponsive for too long after the
   * worker's lease expired. A machine that this node doesn't own keeps its recorded status.
   */
  machineStatus(entry: MachineEntry, now: Micros): MachineStatus {
    const worker = this.trackedWorkers.get(entry.host);
    if (worker) return trackedMachineStatus(this.timeouts, entry, { worker, now });
    return untrackedMachineStatus(this.timeouts, entry, { ownership: this.machines.get(entry.host), now });
  }

  /** Returns every placement on an owned machine whose task is proven stopped, with its outcome. */
  findCompletions(ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, now: Micros): TaskCompletion[] {
    return this.completionDetector.find({ ledger, jobs }, now);
  }

  /** Builds the commands for a worker that has just sent a heartbeat. Returns none for an untracked worker. */
  commands(host: string, context: CommandContext): Command[] {
    const worker = this.trackedWorkers.get(host);
    return worker ? this.commandBuilder.build(worker, context) : [];
  }
}
