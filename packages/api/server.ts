/** Starts the HTTP server of an application. */
import { createServer, type Server } from 'node:http';
import type Koa from 'koa';
import { parseEndpoint } from '#wire';
import { ConnectionLimiter } from './connection-limiter.js';

/** Keep-alive timeout, in milliseconds: an hour, since the protocol leaves it to the client to close connections. */
const KEEP_ALIVE_MS = 3_600_000;

/** Listens on an address (`host:port`) with at most `maxConnections` open connections. Rejects if it can't listen. */
export function listen(app: Koa, address: string, maxConnections: number): Promise<Server> {
  const handle = app.callback();
  const server = createServer((req, res) => {
    // The promise never rejects: Koa responds with an error if its middleware fails.
    void handle(req, res);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = 0;
  new ConnectionLimiter(server, maxConnections);
  // All workers may connect at the same time after the other nodes have failed.
  const options = { ...parseEndpoint(address), backlog: maxConnections };
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, () => {
      resolve(server);
    });
  });
}
