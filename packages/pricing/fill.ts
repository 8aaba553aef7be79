/** Bin packing: puts tasks of one job on random roomy machines, in the order of its shapes. */
import { fits, take } from './amounts.js';
import type { Pool } from './pools.js';
import type { RoomyMachine, WaitingJob } from './types.js';
import type { ZoneRule } from './zone-rule.js';

/** How the machine of a task is chosen. */
export interface FillOptions {
  /** Random roomy machines that are looked at for each task; the fullest of them gets it. */
  readonly choices: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Tasks of one job that are to be placed. */
export interface BinPackingRequest {
  readonly job: WaitingJob;
  /** The shapes that they may go to, best first. */
  readonly pools: readonly Pool[];
  readonly rule: ZoneRule;
  /** Tasks to place at most. */
  readonly count: number;
}

/**
 * Places up to `count` tasks, the best shape first, and takes the room of each. Returns the machine of every task
 * that found one.
 */
export function fill(request: BinPackingRequest, options: FillOptions): RoomyMachine[] {
  const { job, pools, rule, count } = request;
  const chosen: RoomyMachine[] = [];
  for (const pool of pools) {
    if (chosen.length >= count) break;
    const roomy = pool.machines.filter((machine) => canTake(machine, job, rule));
    // A machine that has the image starts the task at once: the random choice is among those first.
    const warm = roomy.filter((machine) => machine.warm.includes(job.image));
    const cold = roomy.filter((machine) => !machine.warm.includes(job.image));
    packGroup(warm, request, { options, chosen });
    packGroup(cold, request, { options, chosen });
  }
  return chosen;
}

/** Adds machines of the group to those chosen, one for each task; those that get full leave the group. */
function packGroup(
  group: RoomyMachine[],
  { job, rule, count }: BinPackingRequest,
  { options, chosen }: { options: FillOptions; chosen: RoomyMachine[] },
): void {
  while (chosen.length < count && group.length > 0) {
    const index = tightest(group, options);
    const machine = group[index]!;
    if (!canTake(machine, job, rule)) {
      group[index] = group[group.length - 1]!;
      group.pop();
      continue;
    }
    take(machine.room, job.need, 1);
    rule.placed(machine.zone);
    chosen.push(machine);
  }
}

function canTake(machine: RoomyMachine, job: WaitingJob, rule: ZoneRule): boolean {
  return rule.open(machine.zone) && fits(job.need, machine.room);
}

/**
 * Of some random roomy machines the one with least room left: whole machines stay free for large tasks, and
 * idle ones can be returned.
 */
function tightest(group: readonly RoomyMachine[], { choices, random }: FillOptions): number {
  let best = Math.floor(random() * group.length);
  for (let i = 1; i < choices; i++) {
    const other = Math.floor(random() * group.length);
    if (utilization(group[other]) > utilization(group[best])) best = other;
  }
  return best;
}

/** The part of the machine's CPUs that is in use, from 0 to 1. */
function utilization(machine: RoomyMachine | undefined): number {
  return machine && machine.total.cpus > 0 ? 1 - machine.room.cpus / machine.total.cpus : 0;
}
