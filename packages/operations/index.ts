export * from './client.js';
export * from './listener.js';
export * from './messages.js';
