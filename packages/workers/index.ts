export * from './worker-timeouts.js';
export * from './tracked-worker.js';
export * from './worker-registry.js';
