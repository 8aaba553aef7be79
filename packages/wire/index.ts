/**
 * Everything that crosses the wire: the messages in the terms of the code, their codecs, and the HTTP client. The codecs
 * are the only place that knows the protocol's own names. Clients of the service can use this package by itself.
 */
export * from './codec.js';
export * from './http-client.js';
export * from './job-state-codec.js';
export * from './jobs.js';
export * from './machines.js';
export * from './heartbeat-codec.js';
export * from './submission-codec.js';
export * from './tasks.js';
export * from './time.js';
export * from './heartbeat.js';
