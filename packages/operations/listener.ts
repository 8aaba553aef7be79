/**
 * The operators' listener of a node: JSON over HTTP, off unless the operators' settings name an address. It has a few
 * connections of its own and can't take any from workers and users; nothing that it says counts as proof.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { Readable } from 'node:stream';
import Koa from 'koa';
import { parseDutyName } from '#duties';
import { splitAddress } from '#wire';
import type { OperatedNode, OperatorError, ResignResult } from './messages.js';

/** Connections that the listener takes at most. */
export const OPERATOR_SOCKETS = 8;
const MAX_BODY_BYTES = 1024;
/** A client that sends nothing for so long is cut off. */
const IDLE_MS = 10_000;

/** The body is sent as JSON, or as it is if it is a stream. */
interface OperatorAnswer {
  status: number;
  body: object;
}

/** A request that can't be taken, with the status and what to do about it. */
class BadRequest extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export function createOperatorApp(node: OperatedNode, onError: (cause: unknown) => void): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (context) => {
    const answer = await dispatch(node, context.method, context.path, context.req).catch((cause: unknown) => {
      if (cause instanceof BadRequest) return failure(cause.status, cause.message);
      onError(cause);
      return failure(500, 'internal error; the log of the node says more');
    });
    context.status = answer.status;
    context.set('Connection', 'close');
    context.body = answer.body;
  });
  return app;
}

/** Serves operators on this address. */
export function listenForOperators(app: Koa, address: string): Promise<Server> {
  const handle = app.callback();
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  server.maxConnections = OPERATOR_SOCKETS;
  server.requestTimeout = IDLE_MS;
  server.headersTimeout = IDLE_MS;
  server.setTimeout(IDLE_MS);
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

async function dispatch(
  node: OperatedNode,
  method: string,
  path: string,
  request: IncomingMessage,
): Promise<OperatorAnswer> {
  if (path === '/duties') {
    if (method !== 'GET') throw new BadRequest(405, 'use GET');
    return { status: 200, body: node.dutyReport() };
  }
  if (path === '/recovery') {
    if (method !== 'GET') throw new BadRequest(405, 'use GET');
    return { status: 200, body: node.lossReport() };
  }
  if (path === '/snapshot') {
    if (method !== 'GET') throw new BadRequest(405, 'use GET');
    const lines = node.snapshot();
    if (lines === null) throw new BadRequest(503, 'this node holds no copy of the state yet');
    return { status: 200, body: Readable.from(lines, { objectMode: false }) };
  }
  if (path === '/duties/resign') {
    if (method !== 'POST') throw new BadRequest(405, 'use POST');
    return resign(node, await readJson(request));
  }
  throw new BadRequest(404, 'no such path; there are /duties, /duties/resign, /recovery and /snapshot');
}

async function resign(node: OperatedNode, body: unknown): Promise<OperatorAnswer> {
  const name = isObject(body) ? body['duty'] : undefined;
  const duty = typeof name === 'string' ? parseDutyName(name) : null;
  if (duty === null) throw new BadRequest(400, 'duty: must be lead or share/N');
  const result: ResignResult = await node.resign(duty);
  return { status: result.kind === 'handed_over' ? 200 : 409, body: result };
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > MAX_BODY_BYTES) throw new BadRequest(413, `the body is over ${MAX_BODY_BYTES} bytes`);
      chunks.push(chunk as Buffer);
    }
  } catch (cause) {
    if (cause instanceof BadRequest) throw cause;
    throw new BadRequest(400, 'the body was cut off');
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    throw new BadRequest(400, 'the body is not JSON');
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function failure(status: number, error: string): OperatorAnswer {
  const body: OperatorError = { error };
  return { status, body };
}
