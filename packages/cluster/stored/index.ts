/**
 * Codecs between the state service's rows and the cluster's domain types. They alone know the names under which data is
 * stored: fields of the domain types may be renamed freely, while every version reads what another has written.
 */
export * from './checkpoint-codec.js';
export * from './checkpoint-row.js';
export * from './holder-codec.js';
export * from './job-codec.js';
export * from './machine-type-codec.js';
export * from './member-codec.js';
export * from './record-codec.js';
export * from './record-splitter.js';
