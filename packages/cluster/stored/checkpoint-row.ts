/** The stored rows of a checkpoint: arrays whose first cell is the kind of the row. */
import type { StoredDestination, StoredHeartbeatPosition, StoredResources } from './record-codec.js';
import type { Count } from '#wire';

/**
 * A row of a checkpoint, small enough to fit into one value. `t`: base time, in milliseconds, to which other times are
 * relative. `n`: names. `h`: a machine. `q`: a pending scale-out. `p`: prices of a shape. `s`: started tasks of one
 * attempt of a job. `d`: index ranges of a job's done tasks.
 */
export type CheckpointRow =
  | [kind: 't', baseMs: number]
  | [kind: 'n', ...names: string[]]
  | [kind: 'h', ...cells: StoredMachineCells]
  | [kind: 'q', scaleOut: StoredPendingScaleOut]
  | [kind: 'p', shard: number, shape: string, cpu: number, gpu: number, mem: number]
  | [
      kind: 's',
      job: string,
      team: number,
      startedOffsetMs: number,
      attempt: number,
      need: StoredResources,
      tasks: StoredPlacedTask[],
      gangSize?: number,
    ]
  | [kind: 'd', job: string, ranges: string];

/** A task, the number of its machine, and the incarnation of the worker that may start it. */
export type StoredPlacedTask = [index: number, machine: number, incarnation: Count];

/** A machine. The machine type, the zone and the images are numbers in the table of names. */
export type StoredMachineCells = [
  host: string,
  machineType: number,
  zone: number,
  spot: 0 | 1,
  acquiredOffsetMs: number,
  shard: number | null,
  status?: number,
  images?: number[],
  ownershipCount?: number,
  lastHeartbeat?: StoredHeartbeatPosition | null,
  destination?: StoredDestination | null,
  consecutiveFailures?: number,
  lastFailureAtMs?: number,
];

/** A scale-out request that is not settled yet. `share` is its shard; `at` is the wall-clock time in milliseconds. */
export interface StoredPendingScaleOut {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  number: number;
  share: number;
  at: number;
}
