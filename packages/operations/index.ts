/** The operators' listener of a node and its client. */
export * from './answer-codec.js';
export * from './client.js';
export * from './listener.js';
export * from './messages.js';
export * from './request-error.js';
