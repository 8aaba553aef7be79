/** Selects idle machines to scale in. Pure: no clock, no I/O. */
import type { Micros } from '#wire';

/** A machine without tasks. */
export interface IdleMachine {
  host: string;
  /** Time for which the machine has been up without tasks. */
  idleFor: Micros;
  /** Time since the machine was acquired. */
  age: Micros;
  spot: boolean;
}

/** Conditions under which an idle machine is scaled in. */
export interface ScaleInOptions {
  /** How long an idle on-demand machine is kept. */
  onDemandIdleTime: Micros;
  /** How long an idle spot machine is kept. */
  spotIdleTime: Micros;
  /** Minimum time that a machine is billed for. */
  minBilledTime: Micros;
}

/** Returns the hosts of the idle machines to scale in, in the given order. */
export function planScaleIn(idle: readonly IdleMachine[], options: ScaleInOptions): string[] {
  return idle
    .filter(
      (machine) =>
        machine.idleFor > (machine.spot ? options.spotIdleTime : options.onDemandIdleTime) &&
        machine.age > options.minBilledTime,
    )
    .map((machine) => machine.host);
}
