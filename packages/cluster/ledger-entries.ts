/** Entries that records add to the ledger: machines, pending scale-outs and placements. */
import type {
  MachineEntry,
  MachineRow,
  PendingScaleOut,
  Placement,
  ScaleOutRow,
  StartGroup,
  TaskRow,
} from './placement.js';
import { formatTaskName } from '#wire';

/** The start of a group of tasks under one attempt number. */
export interface GroupStart {
  readonly group: StartGroup;
  readonly attempt: number;
  /** Wall-clock time of the record, in milliseconds. */
  readonly startedAtMs: number;
}

/** Returns the entry of a machine that joins the fleet. */
export function newMachine([host, machineType, zone, spot, acquiredAtMs, shard]: MachineRow): MachineEntry {
  return {
    host,
    machineType,
    zone,
    spot,
    acquiredAtMs,
    shard,
    destination: null,
    status: 'new',
    ownershipCount: 0,
    lastHeartbeat: null,
    cachedImages: [],
    consecutiveFailures: 0,
    lastFailureAtMs: 0,
  };
}

/** Returns the entry of a scale-out request. `requestedAtMs`: wall-clock time of its record, in milliseconds. */
export function newPendingScaleOut(row: ScaleOutRow, requestedAtMs: number): PendingScaleOut {
  const [id, machineType, zone, spot, count, shard] = row;
  return { id, machineType, zone, spot, count, shard, requestedAtMs };
}

/** Returns the placement that the start of a task creates. */
export function newPlacement(task: TaskRow, { group, attempt, startedAtMs }: GroupStart): Placement {
  const [index, host, workerIncarnation] = task;
  const [cpus, gpus, memGb] = group.taskResources;
  return {
    job: group.job,
    index,
    taskName: formatTaskName(group.job, index),
    team: group.team,
    attempt,
    host,
    workerIncarnation,
    startedAtMs,
    cpus,
    gpus,
    memGb,
    gangSize: group.gang?.size ?? null,
  };
}
