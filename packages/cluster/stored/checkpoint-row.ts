/** Rows of a checkpoint as they are stored: bare lists, the first cell of each tells its kind. */
import type { StoredDestination, StoredHeartbeatPosition, StoredResources } from './record-codec.js';
import type { Count } from '#wire';

/** Each is small enough to be packed into a value. */
export type CheckpointRow =
  | [k: 't', base: number]
  | [k: 'n', ...names: string[]]
  | [k: 'h', ...cells: StoredMachineCells]
  | [k: 'q', row: StoredRental]
  | [k: 'p', shard: number, shape: string, cpu: number, gpu: number, mem: number]
  | [
      k: 's',
      job: string,
      team: number,
      at: number,
      attempt: number,
      need: StoredResources,
      tasks: StoredPlacedTask[],
      gangSize?: number,
    ]
  | [k: 'd', job: string, ranges: string];

/** A task, the number of its machine, and the incarnation of the worker that may start it. */
export type StoredPlacedTask = [index: number, machine: number, incarnation: Count];

/** A machine; names stand for the type, the zone and the images by their numbers. */
export type StoredMachineCells = [
  host: string,
  machineType: number,
  zone: number,
  spot: 0 | 1,
  since: number,
  shard: number | null,
  status?: number,
  images?: number[],
  ownershipCount?: number,
  lastReport?: StoredHeartbeatPosition | null,
  to?: StoredDestination | null,
  errors?: number,
  failedAt?: number,
];

/** A request for machines that is not settled yet. */
export interface StoredRental {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  number: number;
  share: number;
  at: number;
}
