/** Computes the age of a machine, and whether it may still be booting. */
import type { MachineEntry } from '#cluster';
import { type Clock, fromSeconds, type Micros, MS, SECOND } from '#wire';
import type { FleetContext } from './fleet-context.js';

/** Boot time in seconds assumed for a machine of an unknown type. */
const DEFAULT_BOOT_S = 60;
/** A machine may take this multiple of the nominal boot time of its type to boot. */
const BOOT_TIME_FACTOR = 2.2;
/** Time added to the tolerated boot time of every machine. */
const BOOT_TIME_MARGIN: Micros = 5 * SECOND;

/** Returns the time since the machine was acquired. */
export function ageOf(machine: MachineEntry, clock: Clock): Micros {
  return Math.max(0, clock.wall() - machine.acquiredAtMs * MS);
}

/** True if the machine has not come up yet and is still within its tolerated boot time. */
export function isBooting(machine: MachineEntry, { clock, state }: FleetContext): boolean {
  if (machine.status !== 'new') return false;
  const bootTime = fromSeconds(state().machineTypes.get(machine.machineType)?.bootS ?? DEFAULT_BOOT_S);
  return ageOf(machine, clock) <= bootTime * BOOT_TIME_FACTOR + BOOT_TIME_MARGIN;
}
