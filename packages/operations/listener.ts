/**
 * The operators' listener of a node: JSON over HTTP, off unless the operators' settings name an address. It has a few
 * connections of its own, apart from those of workers and users; nothing that it answers counts as proof.
 */
import { createServer, type Server } from 'node:http';
import Koa from 'koa';
import { parseEndpoint } from '#wire';
import type { ErrorAnswer } from './answer-codec.js';
import type { OperatedNode } from './messages.js';
import { OperatorRequestError } from './request-error.js';
import { handleRequest, type OperatorResponse } from './routes.js';

/** Maximum of open connections. */
export const OPERATOR_SOCKETS = 8;

/** A client that sends nothing for so long, in milliseconds, is disconnected. */
const IDLE_MS = 10_000;

/** The application that answers operators for a node; `onError` gets the errors that operators didn't cause. */
export function createOperatorApp(node: OperatedNode, onError: (cause: unknown) => void): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (context) => {
    const response = await handleRequest(node, context.path, context.req).catch((cause: unknown) =>
      responseToError(cause, onError),
    );
    context.status = response.status;
    context.set('Connection', 'close');
    context.body = response.body;
  });
  return app;
}

/** Serves operators on this address; fails if it can't be listened on. The caller closes the server. */
export function listenForOperators(app: Koa, address: string): Promise<Server> {
  const handle = app.callback();
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  server.maxConnections = OPERATOR_SOCKETS;
  server.requestTimeout = IDLE_MS;
  server.headersTimeout = IDLE_MS;
  server.setTimeout(IDLE_MS);
  const { host, port } = parseEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

function responseToError(cause: unknown, onError: (cause: unknown) => void): OperatorResponse {
  if (cause instanceof OperatorRequestError) return errorResponse(cause.status, cause.message);
  onError(cause);
  return errorResponse(500, 'internal error; the log of the node says more');
}

function errorResponse(status: number, error: string): OperatorResponse {
  const body: ErrorAnswer = { error };
  return { status, body };
}
