export * from './done-set.js';
export * from './keys.js';
export * from './leadership.js';
export * from './ledger.js';
export * from './logger.js';
export * from './replica.js';
export * from './writer.js';
