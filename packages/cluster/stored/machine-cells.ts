/** Codec of machines in a checkpoint. Trailing cells with default values are omitted. */
import type { MachineEntry, MachineStatus } from '../placement.js';
import type { StoredMachineCells } from './checkpoint-row.js';
import type { NameTable } from './name-table.js';
import { decodeDestination, encodeDestination } from './record-codec.js';

/** Machine statuses in the order of their stored numbers, which must not change. */
const STATUS_BY_NUMBER: readonly MachineStatus[] = [
  'up',
  'new',
  'unresponsive',
  'reclaimed',
  'quarantined',
  'lost',
];

/** Position of the first cell that may be omitted. */
const FIRST_OPTIONAL_CELL = 6;
/** Default values of the optional cells. The default of the images, `undefined` here, is an empty list. */
const DEFAULT_CELLS = [0, undefined, 0, null, null, 0, 0] as const;

/** Encodes a machine. `baseMs` is the wall-clock time, in milliseconds, to which its stored time is relative. */
export function encodeMachine(machine: MachineEntry, baseMs: number, names: NameTable): StoredMachineCells {
  const { lastHeartbeat, destination } = machine;
  // The images are numbered before the machine type and the zone. This fixes the order of names in the stored table.
  const images = machine.cachedImages.map((image) => names.numberOf(image));
  const cells: StoredMachineCells = [
    machine.host,
    names.numberOf(machine.machineType),
    names.numberOf(machine.zone),
    machine.spot ? 1 : 0,
    machine.acquiredAtMs - baseMs,
    machine.shard,
    STATUS_BY_NUMBER.indexOf(machine.status),
    images,
    machine.ownershipCount,
    lastHeartbeat && [lastHeartbeat[0], lastHeartbeat[1]],
    destination === null ? null : encodeDestination(destination),
    machine.consecutiveFailures,
    machine.lastFailureAtMs,
  ];
  while (cells.length > FIRST_OPTIONAL_CELL && isDefault(cells.at(-1), cells.length - 1)) cells.pop();
  return cells;
}

function isDefault(cell: unknown, position: number): boolean {
  if (Array.isArray(cell)) return cell.length === 0;
  return cell === DEFAULT_CELLS[position - FIRST_OPTIONAL_CELL];
}

/** Reads a machine. `baseMs` is the same as for {@link encodeMachine}; `nameByNumber` looks up the table of names. */
export function decodeMachine(
  cells: StoredMachineCells,
  baseMs: number,
  nameByNumber: (number: number) => string,
): MachineEntry {
  const [host, machineType, zone, spot, acquiredOffsetMs, shard, status, images, ...rest] = cells;
  const [ownershipCount, lastHeartbeat, destination, consecutiveFailures, lastFailureAtMs] = rest;
  return {
    host,
    machineType: nameByNumber(machineType),
    zone: nameByNumber(zone),
    spot: spot === 1,
    acquiredAtMs: baseMs + acquiredOffsetMs,
    shard,
    destination: destination === undefined || destination === null ? null : decodeDestination(destination),
    status: STATUS_BY_NUMBER[status ?? 0] ?? 'up',
    ownershipCount: ownershipCount ?? 0,
    lastHeartbeat: lastHeartbeat ? [lastHeartbeat[0], lastHeartbeat[1]] : null,
    cachedImages: (images ?? []).map(nameByNumber),
    consecutiveFailures: consecutiveFailures ?? 0,
    lastFailureAtMs: lastFailureAtMs ?? 0,
  };
}
