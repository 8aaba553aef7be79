export * from './lease-bounds.js';
export * from './session.js';
export * from './worker-registry.js';
