/**
 * Codecs between the rows of the state store and the cluster's domain types. Only these codecs know the stored names.
 * The fields of the domain types can therefore be renamed, and each version can read the rows that another has written.
 */
export * from './checkpoint-codec.js';
export * from './checkpoint-row.js';
export * from './holder-codec.js';
export * from './job-codec.js';
export * from './machine-type-codec.js';
export * from './member-codec.js';
export * from './record-codec.js';
export * from './record-splitter.js';
