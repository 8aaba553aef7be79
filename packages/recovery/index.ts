export * from './claims.js';
export * from './contradictions.js';
export * from './loss-watch.js';
export * from './report.js';
