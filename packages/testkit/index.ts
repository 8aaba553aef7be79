/** Simulated services, clusters and invariant checks for the tests of all packages. */
export * from './invariants.js';
export * from './ledger-agreement.js';
export * from './role-history.js';
export * from './sample-job.js';
export * from './sample-pending-job.js';
export * from './sample-pricing-round.js';
export * from './sample-settings.js';
export * from './sim-clock.js';
export * from './sim-cloud.js';
export * from './sim-cluster.js';
export * from './sim-cluster-options.js';
export * from './sim-net.js';
export * from './sim-store.js';
export * from './sim-worker.js';
