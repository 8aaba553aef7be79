/** The settings of a node: those of the platform (TOML) and those of its operators (XML). */
export * from './error.js';
export * from './operator.js';
export * from './platform.js';
