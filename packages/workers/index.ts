/**
 * Tracks the workers on the machines that a node owns: their heartbeats, their leases, the tasks that are proven
 * stopped and the commands that the workers get.
 */
export * from './worker-timeouts.js';
export * from './tracked-worker.js';
export * from './completion-detector.js';
export * from './command-builder.js';
export * from './machine-ownership.js';
export * from './worker-registry.js';
