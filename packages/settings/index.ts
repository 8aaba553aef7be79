/** Reads the settings of a node: the platform's file (TOML) and the operators' file (XML). */
export * from './error.js';
export * from './operator.js';
export * from './platform.js';
