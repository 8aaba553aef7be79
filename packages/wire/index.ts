export * from './codec.js';
export * from './http.js';
export * from './job-state.js';
export * from './messages.js';
export * from './report.js';
export * from './submission.js';
export * from './time.js';
