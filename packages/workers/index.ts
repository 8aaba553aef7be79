export * from './worker-registry.js';
