/** Finds lost state, and writes and reads snapshots of the state. */
export * from './claims.js';
export * from './contradictions.js';
export * from './loss-watch.js';
export * from './report.js';
export * from './snapshot-codec.js';
export * from './snapshot-error.js';
export * from './snapshot-format.js';
export * from './snapshot-reader.js';
export * from './snapshot-writer.js';
