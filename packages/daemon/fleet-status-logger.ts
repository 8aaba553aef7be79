/** Logs the number of jobs and the usage of the fleet at intervals. */
import type { Logger, MachineEntry, Replica } from '#cluster';
import { shapeOf } from '#pricing';
import { type Clock, type Micros, SECOND } from '#wire';

const LOG_INTERVAL: Micros = 10 * SECOND;

/** Dependencies of {@link FleetStatusLogger}. */
export interface FleetStatusLoggerOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly log: Logger;
}

/** Usage of the machines of one shape. The fields are logged under these names. */
interface ShapeStatus {
  /** Number of machines that have booted. */
  machines: number;
  /** Number of machines that are still booting. */
  booting: number;
  /** Total CPUs of the machines that have booted. */
  cpus: number;
  /** Total CPUs of the tasks placed on these machines. */
  placed: number;
}

/** Scale-out requests that are not settled yet. The fields are logged under these names. */
interface ScaleOutStatus {
  /** Number of recorded requests. */
  requests: number;
  /** Number of machines that they ask for. */
  machines: number;
}

/** Logs machines, CPUs and CPUs of placed tasks, grouped by machine shape, and the pending scale-out requests. */
export class FleetStatusLogger {
  private lastLoggedAt: Micros = -Infinity;

  constructor(private readonly options: FleetStatusLoggerOptions) {}

  /** Logs the status of the fleet, at most once per interval. */
  logIfDue(): void {
    const { replica, clock, log } = this.options;
    if (clock.now() - this.lastLoggedAt < LOG_INTERVAL) return;
    this.lastLoggedAt = clock.now();
    const shapes: Record<string, ShapeStatus> = {};
    for (const machine of replica.ledger.machines.values()) {
      const shape = shapeOf(machine.machineType, machine.spot);
      const status = (shapes[shape] ??= { machines: 0, booting: 0, cpus: 0, placed: 0 });
      this.addMachine(machine, status);
    }
    log.info({ jobs: replica.jobs.size, shapes, scaleOuts: this.scaleOutStatus() }, 'fleet status');
  }

  private scaleOutStatus(): ScaleOutStatus {
    const { pendingScaleOuts } = this.options.replica.ledger;
    let machines = 0;
    for (const { count } of pendingScaleOuts.values()) machines += count;
    return { requests: pendingScaleOuts.size, machines };
  }

  /** Adds the machine to the totals of its shape. */
  private addMachine(machine: MachineEntry, status: ShapeStatus): void {
    const { ledger, machineTypes } = this.options.replica;
    if (machine.status === 'new') {
      status.booting++;
      return;
    }
    status.machines++;
    status.cpus += machineTypes.get(machine.machineType)?.cpus ?? 0;
    for (const { cpus } of ledger.placementsOn(machine.host)) status.placed += cpus;
  }
}
