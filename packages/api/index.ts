/** The HTTP interface for users and workers: MessagePack over HTTP/1.1. */
export * from './app.js';
export * from './server.js';
export * from './service.js';
