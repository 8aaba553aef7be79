/**
 * Plans which machines to request for unmet demand. Guaranteed tasks of all teams come first, then the teams take turns,
 * so that the demand of one team, however large, does not keep the others waiting. Pure: no clock, no I/O.
 */
import { MAX_MACHINES_PER_REQUEST } from '#cloud';
import type { MachineType } from '#wire';
import type { Offer } from './offers.js';
import type { PendingCapacity } from './pending-capacity.js';
import { type PlannedScaleOut, ScaleOutBatch } from './scale-out-batch.js';
import { type OpenDemand, type ShardScaleOut, ShardScaleOutPlanner } from './shard-scale-out-planner.js';

/** Input of {@link planScaleOut}. */
export interface ScaleOutInput {
  readonly types: readonly MachineType[];
  readonly shards: readonly ShardScaleOut[];
  /** Current number of machines in each zone, so that new machines go to zones with fewer. Keyed by zone. */
  readonly machinesPerZone: ReadonlyMap<string, number>;
  /** Maximum number of requests. Demand that they do not cover is planned again in a later step. */
  readonly maxRequests: RequestLimits;
  /** True if the cloud had too few machines of the offer the last time. Each shard then plans one request for it. */
  readonly isScarce: (offer: Offer) => boolean;
}

/** Maximum number of requests of one plan. */
export interface RequestLimits {
  /** For guaranteed tasks. It is the higher limit, so that other tasks can't take all requests. */
  readonly guaranteed: number;
  /** For all tasks together. It does not reduce what is planned for guaranteed tasks. */
  readonly others: number;
}

/** Result of {@link planScaleOut}. */
export interface ScaleOutPlan {
  /** Requests in the order in which they are to be sent. */
  readonly requests: readonly PlannedScaleOut[];
  /** Pending capacity of the input that no task needs. */
  readonly unusedCapacity: readonly PendingCapacity[];
  /** Ids of the gangs that must be spread over zones and for which no machines can be requested at present. */
  readonly blockedGangs: ReadonlySet<string>;
}

/**
 * Plans the requests for tasks that pending capacity will not take either. Each task gets the feasible offer that is
 * cheapest per task; offers of equal price are spread over the zones.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutPlan {
  const batch = new ScaleOutBatch(input.maxRequests.guaranteed, input.isScarce);
  const planners = input.shards.map((shard) => new ShardScaleOutPlanner(shard, { ...input, batch }));
  const demands = planners.flatMap((planner) => planner.openDemands());
  planInTurns(demands, 'guaranteed');
  batch.maxRequests = input.maxRequests.others;
  planInTurns(demands, 'others');
  return {
    requests: batch.requests,
    unusedCapacity: planners.flatMap((planner) => planner.unusedCapacity()),
    blockedGangs: new Set(planners.flatMap((planner) => [...planner.blockedGangs])),
  };
}

/** Plans one kind of tasks of all demands. The teams take turns, each with one request's worth of machines. */
function planInTurns(demands: readonly OpenDemand[], kind: 'guaranteed' | 'others'): void {
  const queues = new Map<string, OpenDemand[]>();
  for (const demand of demands) {
    const queue = queues.get(demand.job.team);
    if (queue) queue.push(demand);
    else queues.set(demand.job.team, [demand]);
  }
  while (queues.size > 0) {
    for (const [team, queue] of queues) {
      const [demand] = queue;
      const wantsAnotherTurn = demand?.planner.planMachines(demand, kind, MAX_MACHINES_PER_REQUEST) ?? false;
      if (!wantsAnotherTurn) queue.shift();
      if (queue.length === 0) queues.delete(team);
    }
  }
}
