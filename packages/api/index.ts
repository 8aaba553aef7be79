import { createServer, type IncomingMessage, type Server } from 'node:http';
import Koa from 'koa';
import { decode, encode, isWireFields, MAX_BODY_BYTES, parseEndpoint } from '#wire';
import { Connections } from './connections.js';

/** An answer to a user or a worker, before it is put on the wire. */
export interface ServiceResponse {
  status: number;
  body: object;
  retryAfterS?: number;
  /** The client should use a new connection for what comes next. */
  closesConnection?: boolean;
}

/** What the HTTP side needs of a node. */
export interface NodeService {
  submitJob(body: unknown): Promise<ServiceResponse>;
  getJob(id: string): Promise<ServiceResponse>;
  cancelJob(id: string): Promise<ServiceResponse>;
  heartbeat(body: unknown): Promise<ServiceResponse>;
  health(): ServiceResponse;
}

/** Thrown for a body that can't be taken; the client gets 400. */
class BadBody extends Error {}

/**
 * Collects a body, and refuses it as soon as it grows over the limit. Listens to the stream itself: a pipeline
 * with its abort signal made up a third of the cost of a worker's report.
 */
function collect(req: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) {
        req.pause();
        reject(new BadBody('body too large'));
      } else chunks.push(chunk);
    });
    req.once('end', () => {
      resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
    req.once('error', reject);
    req.once('close', () => {
      if (!req.complete) reject(new BadBody('body cut off'));
    });
  });
}

async function readBody(req: IncomingMessage): Promise<unknown> {
  const bytes = await collect(req);
  let value: unknown;
  try {
    value = decode(bytes);
  } catch {
    throw new BadBody('not MessagePack');
  }
  if (!isWireFields(value)) throw new BadBody('not a map');
  return value;
}

type Route = (service: NodeService, id: string, body: unknown) => Promise<ServiceResponse> | ServiceResponse;

const ROUTES: { method: string; path: RegExp; takesBody: boolean; run: Route }[] = [
  { method: 'POST', path: /^\/v1\/report$/, takesBody: true, run: (s, _id, body) => s.heartbeat(body) },
  { method: 'POST', path: /^\/submissions$/, takesBody: true, run: (s, _id, body) => s.submitJob(body) },
  { method: 'GET', path: /^\/submissions\/([^/]+)$/, takesBody: false, run: (s, id) => s.getJob(id) },
  {
    method: 'POST',
    path: /^\/submissions\/([^/]+)\/withdraw$/,
    takesBody: false,
    run: (s, id) => s.cancelJob(id),
  },
  { method: 'GET', path: /^\/healthz$/, takesBody: false, run: (s) => s.health() },
];

export function createApp(service: NodeService, onError: (cause: unknown) => void): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    const answer = await dispatch(service, ctx.method, ctx.path, ctx.req).catch(
      (cause: unknown): ServiceResponse => {
        if (cause instanceof BadBody) {
          // What is left of an oversized body is not read: the connection can't be used again.
          ctx.set('Connection', 'close');
          return { status: 400, body: { error: cause.message } };
        }
        onError(cause);
        return { status: 500, body: { error: 'internal error' } };
      },
    );
    ctx.status = answer.status;
    if (answer.retryAfterS !== undefined) ctx.set('Retry-After', String(answer.retryAfterS));
    if (answer.closesConnection) ctx.set('Connection', 'close');
    ctx.type = 'application/msgpack';
    ctx.body = encode(answer.body);
  });
  return app;
}

async function dispatch(
  service: NodeService,
  method: string,
  path: string,
  req: IncomingMessage,
): Promise<ServiceResponse> {
  const found = ROUTES.map((route) => ({ route, match: route.path.exec(path) })).filter((r) => r.match);
  if (found.length === 0) return { status: 404, body: { error: 'no such path' } };
  const hit = found.find((r) => r.route.method === method);
  if (!hit) return { status: 405, body: { error: 'method not allowed' } };
  const body = hit.route.takesBody ? await readBody(req) : undefined;
  return hit.route.run(service, hit.match?.[1] ?? '', body);
}

/** Kept connections stay open until the client ends them, as the protocol says. */
const KEEP_OPEN_MS = 3_600_000;

/** Serves on the address with at most so many open connections. */
export function listen(app: Koa, address: string, most: number): Promise<Server> {
  const handle = app.callback();
  const server = createServer((req, res) => {
    void handle(req, res);
  });
  server.keepAliveTimeout = KEEP_OPEN_MS;
  server.requestTimeout = 0;
  new Connections(server, most);
  // All workers may come at once, after the other nodes have ended.
  const at = { ...parseEndpoint(address), backlog: most };
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at, () => {
      resolve(server);
    });
  });
}
