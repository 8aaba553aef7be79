/** Decides which idle machines are deleted. Pure: no clock, no I/O. */
import type { Micros } from '#wire';

/** A machine without tasks. */
export interface IdleMachine {
  host: string;
  idleFor: Micros;
  /** Since it was acquired. */
  age: Micros;
  spot: boolean;
}

/** When an idle machine is deleted. */
export interface ScaleInOptions {
  /** How long an idle on-demand machine is kept. */
  onDemandIdleTime: Micros;
  /** How long an idle spot machine is kept. */
  spotIdleTime: Micros;
  /** Minimum time that a machine is billed for. */
  minBilledTime: Micros;
}

/** Hosts of the idle machines to delete, in the given order. */
export function planScaleIn(idle: readonly IdleMachine[], options: ScaleInOptions): string[] {
  return idle
    .filter(
      (machine) =>
        machine.idleFor > (machine.spot ? options.spotIdleTime : options.onDemandIdleTime) &&
        machine.age > options.minBilledTime,
    )
    .map((machine) => machine.host);
}
