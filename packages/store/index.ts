/** Client of the consensus-backed key-value store, with its rate limits, size limits and revision check. */
export * from './revision-check.js';
export * from './rate-limiter.js';
export * from './rows.js';
export * from './store-client.js';
export * from './store-error.js';
export * from './write-limits.js';
