/** The workers of the machines that a node owns: the entry point of this package. */
import type { Ledger, LiveJob, MachineEntry, MachineStatus, Placement } from '#cluster';
import type { Command, Heartbeat, Micros } from '#wire';
import { CommandBuilder, type CommandContext } from './command-builder.js';
import { CompletionDetector, type TaskCompletion } from './completion-detector.js';
import { isStaleForOwner, OwnedMachines, type OwnershipView } from './machine-ownership.js';
import { StopRequests } from './stop-requests.js';
import { isNewerHeartbeat, trackHeartbeat, type TrackedWorker } from './tracked-worker.js';
import { trackedMachineStatus, untrackedMachineStatus, updateLiveness } from './worker-liveness.js';
import type { WorkerTimeouts } from './worker-timeouts.js';

/** What a node knows of the workers of its machines, and what it commands them. All times are steady times. */
export class WorkerRegistry {
  /** The workers that have sent a heartbeat since this node acquired their machine, by host. */
  readonly trackedWorkers = new Map<string, TrackedWorker>();
  private readonly machines = new OwnedMachines();
  private readonly stopRequests = new StopRequests();
  private readonly commandBuilder = new CommandBuilder(this.stopRequests);
  private readonly completionDetector: CompletionDetector;

  constructor(private readonly limits: WorkerTimeouts) {
    this.completionDetector = new CompletionDetector({
      machines: this.machines,
      workers: this.trackedWorkers,
      stopRequests: this.stopRequests,
      commandBuilder: this.commandBuilder,
      limits,
    });
  }

  /**
   * Follows which machines this node owns. A machine that it acquires (again) starts afresh, since what its worker was
   * told in between is unknown.
   */
  syncOwnership(view: OwnershipView): void {
    for (const host of this.machines.sync(view)) this.trackedWorkers.delete(host);
  }

  /** Processes a heartbeat; false if a newer one of this worker is known already, or its machine isn't owned. */
  onHeartbeat(heartbeat: Heartbeat, now: Micros): boolean {
    const { host } = heartbeat;
    const ownership = this.machines.get(host);
    const previous = this.trackedWorkers.get(host) ?? null;
    if (!ownership || (previous && !isNewerHeartbeat(heartbeat, previous.heartbeat))) return false;
    if (isStaleForOwner(ownership, heartbeat)) return false;
    const hasSeenToken = heartbeat.fencingToken >= ownership.fencingToken;
    this.trackedWorkers.set(host, trackHeartbeat({ heartbeat, previous, hasSeenToken, now }));
    return true;
  }

  /** To be called when a heartbeat of this worker is answered: the answer renews the worker's lease. */
  onResponseSent(host: string, now: Micros): void {
    const worker = this.trackedWorkers.get(host);
    if (worker) worker.respondedAt = now;
  }

  /** Time until the worker can get commands: none while its heartbeat waits for its answer. */
  nextHeartbeatIn(host: string, now: Micros): Micros {
    const worker = this.trackedWorkers.get(host);
    if (!worker) return this.limits.heartbeatInterval;
    if (worker.respondedAt < worker.heartbeatAt) return 0;
    return Math.max(0, worker.heartbeatAt + this.limits.heartbeatInterval - now);
  }

  /** Has an attempt stopped, with this many seconds to save. It is never started again. */
  requestStop(placement: Placement, graceS: number): void {
    this.stopRequests.add(placement, graceS);
  }

  /** Whether tasks on this machine are being stopped. */
  isPreempting(host: string, ledger: Ledger): boolean {
    if (this.stopRequests.isEmpty) return false;
    for (const placement of ledger.placementsOn(host)) if (this.isStopping(placement)) return true;
    return false;
  }

  /** Whether this attempt was requested to stop. */
  isStopping(placement: Placement): boolean {
    return this.stopRequests.has(placement);
  }

  /** Updates the liveness of every worker, and drops stop requests whose attempt has ended. */
  updateLiveness(now: Micros, ledger: Ledger): void {
    for (const [host, worker] of this.trackedWorkers) {
      updateLiveness(this.limits, { worker, ownership: this.machines.get(host), now });
    }
    this.stopRequests.discardEnded(ledger);
  }

  /**
   * The status that the log should hold for a machine: `reclaimed` is by the cloud, `quarantined` after failures,
   * `lost` unresponsive beyond its lease. A machine that isn't owned keeps its own.
   */
  machineStatus(entry: MachineEntry, now: Micros): MachineStatus {
    const worker = this.trackedWorkers.get(entry.host);
    if (worker) return trackedMachineStatus(this.limits, entry, { worker, now });
    return untrackedMachineStatus(this.limits, entry, { ownership: this.machines.get(entry.host), now });
  }

  /** Every placement on an owned machine that is proven off it, with its outcome. */
  findCompletions(ledger: Ledger, jobs: ReadonlyMap<string, LiveJob>, now: Micros): TaskCompletion[] {
    return this.completionDetector.find({ ledger, jobs }, now);
  }

  /** The commands for a worker that has just sent a heartbeat; none for one that is unknown. */
  commands(host: string, context: CommandContext): Command[] {
    const worker = this.trackedWorkers.get(host);
    return worker ? this.commandBuilder.build(worker, context) : [];
  }
}
