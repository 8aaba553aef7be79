/** Logs the state of the whole fleet at intervals. */
import type { Logger, MachineEntry, Replica } from '#cluster';
import { shapeOf } from '#pricing';
import { type Clock, type Micros, SECOND } from '#wire';

const LOG_INTERVAL: Micros = 10 * SECOND;

/** What a fleet status logger works with. */
export interface FleetStatusLoggerOptions {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly log: Logger;
}

/** The machines of one shape. */
interface ShapeStatus {
  /** Machines that are past booting. */
  machines: number;
  booting: number;
  /** CPUs of the machines that are past booting. */
  cpus: number;
  /** CPUs that placed tasks take. */
  placed: number;
}

/** Logs machines, CPUs and placed CPUs by shape. */
export class FleetStatusLogger {
  private lastLoggedAt: Micros = -Infinity;

  constructor(private readonly options: FleetStatusLoggerOptions) {}

  /** Logs the state of the fleet unless that was done within the last interval. */
  logIfDue(): void {
    const { replica, clock, log } = this.options;
    if (clock.now() - this.lastLoggedAt < LOG_INTERVAL) return;
    this.lastLoggedAt = clock.now();
    const shapes: Record<string, ShapeStatus> = {};
    for (const machine of replica.ledger.machines.values()) {
      const shape = shapeOf(machine.machineType, machine.spot);
      const status = (shapes[shape] ??= { machines: 0, booting: 0, cpus: 0, placed: 0 });
      this.count(machine, status);
    }
    log.info({ jobs: replica.jobs.size, shapes }, 'fleet status');
  }

  private count(machine: MachineEntry, status: ShapeStatus): void {
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
