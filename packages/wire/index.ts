/**
 * The messages of the network protocols, their codecs, the HTTP client and the clock interface. Only the codecs know
 * the field names of the protocol. Clients of the service can use this package without the other packages.
 */
export * from './codec.js';
export * from './http-client.js';
export * from './job-state-codec.js';
export * from './jobs.js';
export * from './machines.js';
export * from './heartbeat-codec.js';
export * from './heartbeat-limits.js';
export * from './submission-codec.js';
export * from './tasks.js';
export * from './time.js';
export * from './heartbeat.js';
