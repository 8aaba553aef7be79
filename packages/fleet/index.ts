/** Management of the machine fleet: scale-out, scale-in, drains, the warm pool and transfers between shards. */
export * from './offers.js';
export * from './pending-capacity.js';
export * from './scale-out-planner.js';
export * from './scale-in-planner.js';
export * from './drain-planner.js';
export type { FleetState, ShardDemand } from './fleet-context.js';
export * from './fleet-manager.js';
export * from './transfer-planner.js';
export * from './warm-pool.js';
