/** The HTTP server that an application listens with. */
import { createServer, type Server } from 'node:http';
import type Koa from 'koa';
import { parseEndpoint } from '#wire';
import { ConnectionLimiter } from './connection-limiter.js';

/** Connections stay open until the client ends them, as the protocol says. */
const KEEP_ALIVE_MS = 3_600_000;

/** Serves on the address (`host:port`) with at most `maxConnections` open connections; rejects if it can't listen. */
export function listen(app: Koa, address: string, maxConnections: number): Promise<Server> {
  const handle = app.callback();
  const server = createServer((req, res) => {
    // Koa answers every failure of its middleware itself: the promise never rejects.
    void handle(req, res);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = 0;
  new ConnectionLimiter(server, maxConnections);
  // After a failure of the other nodes all workers may connect at once.
  const options = { ...parseEndpoint(address), backlog: maxConnections };
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, () => {
      resolve(server);
    });
  });
}
