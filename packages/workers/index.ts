/**
 * What the owner of a machine knows of its worker: the latest heartbeat, the state of its lease, which of its tasks have
 * ended for certain, and which commands it gets.
 */
export * from './worker-timeouts.js';
export * from './tracked-worker.js';
export * from './completion-detector.js';
export * from './command-builder.js';
export * from './machine-ownership.js';
export * from './worker-registry.js';
