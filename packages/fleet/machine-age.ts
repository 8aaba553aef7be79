/** How old a machine is, and whether its worker may still be starting. */
import type { MachineEntry } from '#cluster';
import { type Clock, fromSeconds, type Micros, MS, SECOND } from '#wire';
import type { FleetContext } from './fleet-context.js';

/** For a machine of a type that is not known. */
const DEFAULT_BOOT_S = 60;
/** How far beyond the nominal time of its type a machine may take to boot. */
const BOOT_TIME_FACTOR = 2.2;
const BOOT_TIME_MARGIN: Micros = 5 * SECOND;

/** Time since the machine was acquired. */
export function ageOf(machine: MachineEntry, clock: Clock): Micros {
  return Math.max(0, clock.wall() - machine.acquiredAtMs * MS);
}

/** The machine has not come up yet, and is young enough for that. */
export function isBooting(machine: MachineEntry, { clock, state }: FleetContext): boolean {
  if (machine.status !== 'new') return false;
  const bootTime = fromSeconds(state().machineTypes.get(machine.machineType)?.bootS ?? DEFAULT_BOOT_S);
  return ageOf(machine, clock) <= bootTime * BOOT_TIME_FACTOR + BOOT_TIME_MARGIN;
}
