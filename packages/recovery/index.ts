/** Detects data loss in the state service; writes and reads snapshots of the state. */
export * from './observations.js';
export * from './inconsistencies.js';
export * from './data-loss-detector.js';
export * from './data-loss-status.js';
export * from './snapshot-codec.js';
export * from './snapshot-error.js';
export * from './snapshot-format.js';
export * from './snapshot-reader.js';
export * from './snapshot-writer.js';
