/** Machines in a checkpoint: trailing cells with their usual values are left out. */
import type { MachineEntry, MachineStatus } from '../placement.js';
import type { StoredMachineCells } from './checkpoint-row.js';
import type { NameTable } from './name-table.js';
import { decodeDestination, encodeDestination } from './record-codec.js';

/** Machine statuses by the number that stands for each. */
const STATUSES: readonly MachineStatus[] = ['up', 'new', 'unresponsive', 'reclaimed', 'quarantined', 'lost'];

/** Cells from this one on are left out at the end while they have their usual value. */
const FIRST_OPTIONAL_CELL = 6;
/** Usual values of the cells from that one on; for the images, an empty list. */
const USUAL_CELLS = [0, undefined, 0, null, null, 0, 0] as const;

/** The cells of a machine; `base`: the time that its own is counted from, in milliseconds. */
export function encodeMachine(machine: MachineEntry, base: number, names: NameTable): StoredMachineCells {
  const { lastHeartbeat, destination } = machine;
  // Images come before the type and the zone in the table of names.
  const images = machine.cachedImages.map((image) => names.numberOf(image));
  const cells: StoredMachineCells = [
    machine.host,
    names.numberOf(machine.machineType),
    names.numberOf(machine.zone),
    machine.spot ? 1 : 0,
    machine.acquiredAtMs - base,
    machine.shard,
    STATUSES.indexOf(machine.status),
    images,
    machine.ownershipCount,
    lastHeartbeat && [lastHeartbeat[0], lastHeartbeat[1]],
    destination === null ? null : encodeDestination(destination),
    machine.consecutiveFailures,
    machine.lastFailureAtMs,
  ];
  while (cells.length > FIRST_OPTIONAL_CELL && isUsual(cells.at(-1), cells.length - 1)) cells.pop();
  return cells;
}

function isUsual(cell: unknown, position: number): boolean {
  if (Array.isArray(cell)) return cell.length === 0;
  return cell === USUAL_CELLS[position - FIRST_OPTIONAL_CELL];
}

/** Reads the cells of a machine. */
export function decodeMachine(
  cells: StoredMachineCells,
  base: number,
  name: (number: number) => string,
): MachineEntry {
  const [host, machineType, zone, spot, since, shard, status, images, ...rest] = cells;
  const [ownershipCount, lastHeartbeat, destination, errors, failedAt] = rest;
  return {
    host,
    machineType: name(machineType),
    zone: name(zone),
    spot: spot === 1,
    acquiredAtMs: base + since,
    shard,
    destination: destination === undefined || destination === null ? null : decodeDestination(destination),
    status: STATUSES[status ?? 0] ?? 'up',
    ownershipCount: ownershipCount ?? 0,
    lastHeartbeat: lastHeartbeat ? [lastHeartbeat[0], lastHeartbeat[1]] : null,
    cachedImages: (images ?? []).map(name),
    consecutiveFailures: errors ?? 0,
    lastFailureAtMs: failedAt ?? 0,
  };
}
