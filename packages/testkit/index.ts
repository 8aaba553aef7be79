export * from './agreement.js';
export * from './rules.js';
export * from './sim-clock.js';
export * from './sim-cloud.js';
export * from './sim-net.js';
export * from './sim-store.js';
export * from './sim-worker.js';
export * from './sim-world.js';
