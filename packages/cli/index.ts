/** The command line interface for operators and users. */
export * from './errors.js';
export * from './program.js';
