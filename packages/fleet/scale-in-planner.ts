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
  ordinary: Micros;
  /** How long an idle spot machine is kept. */
  spot: Micros;
  /** Minimum time that a machine is billed for. */
  least: Micros;
}

/** Hosts of the idle machines to delete, in the given order. */
export function planScaleIn(idle: readonly IdleMachine[], options: ScaleInOptions): string[] {
  return idle
    .filter(
      (machine) =>
        machine.idleFor > (machine.spot ? options.spot : options.ordinary) && machine.age > options.least,
    )
    .map((machine) => machine.host);
}
