export * from './claims.js';
export * from './contradictions.js';
export * from './loss-watch.js';
export * from './report.js';
export * from './snapshot-format.js';
export * from './snapshot-reader.js';
export * from './snapshot-writer.js';
