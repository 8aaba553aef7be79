/**
 * The operators' listener of a node: JSON over HTTP, off unless the operators' settings name an address. It has a small
 * connection limit of its own, so that operators don't use up the connections of workers and users. Its responses are
 * informational: no component may act on them as proof of a role or a lease.
 */
import { createServer, type Server } from 'node:http';
import Koa from 'koa';
import { parseEndpoint } from '#wire';
import type { ErrorAnswer } from './answer-codec.js';
import type { NodeOperations } from './messages.js';
import { OperatorRequestError } from './request-error.js';
import { handleRequest, type OperatorResponse } from './routes.js';

/** Maximum number of open connections. */
export const MAX_OPERATOR_CONNECTIONS = 8;

/** Time in milliseconds after which an idle connection or an incomplete request is closed. */
const IDLE_TIMEOUT_MS = 10_000;

/** Creates the application that serves operators of a node; `onError` is called with errors that no request has caused. */
export function createOperatorApp(node: NodeOperations, onError: (cause: unknown) => void): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (context) => {
    const response = await handleRequest(node, context.path, context.req).catch((cause: unknown) =>
      toErrorResponse(cause, onError),
    );
    context.status = response.status;
    context.set('Connection', 'close');
    context.body = response.body;
  });
  return app;
}

/** Serves operators on this address; rejects if the address can't be bound. The caller closes the server. */
export function listenForOperators(app: Koa, address: string): Promise<Server> {
  const handle = app.callback();
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  server.maxConnections = MAX_OPERATOR_CONNECTIONS;
  server.requestTimeout = IDLE_TIMEOUT_MS;
  server.headersTimeout = IDLE_TIMEOUT_MS;
  server.setTimeout(IDLE_TIMEOUT_MS);
  const { host, port } = parseEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

/** Maps a rejected request to its status and message, and reports any other error with status 500. */
function toErrorResponse(cause: unknown, onError: (cause: unknown) => void): OperatorResponse {
  if (cause instanceof OperatorRequestError) return errorResponse(cause.status, cause.message);
  onError(cause);
  return errorResponse(500, 'internal error; the log of the node says more');
}

function errorResponse(status: number, error: string): OperatorResponse {
  const body: ErrorAnswer = { error };
  return { status, body };
}
