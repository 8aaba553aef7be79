/** Maps the paths of the protocol to the operations of a node. */
import type { IncomingMessage } from 'node:http';
import { readBody } from './request-body.js';
import type { NodeService, ServiceResponse } from './service.js';

/** A request whose body has not been read yet. */
export interface RoutedRequest {
  readonly method: string;
  readonly path: string;
  readonly message: IncomingMessage;
}

/** The parts of a request that an operation uses. */
interface RouteArguments {
  /** The job id in the path; empty for a path without one. */
  readonly id: string;
  /** Undefined for a route that takes no body. */
  readonly body: unknown;
}

interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly takesBody: boolean;
  readonly run: (service: NodeService, args: RouteArguments) => Promise<ServiceResponse> | ServiceResponse;
}

const ROUTES: readonly Route[] = [
  {
    method: 'POST',
    path: /^\/v1\/report$/,
    takesBody: true,
    run: (service, { body }) => service.heartbeat(body),
  },
  {
    method: 'POST',
    path: /^\/submissions$/,
    takesBody: true,
    run: (service, { body }) => service.submitJob(body),
  },
  {
    method: 'GET',
    path: /^\/submissions\/([^/]+)$/,
    takesBody: false,
    run: (service, { id }) => service.getJob(id),
  },
  {
    method: 'POST',
    path: /^\/submissions\/([^/]+)\/withdraw$/,
    takesBody: false,
    run: (service, { id }) => service.cancelJob(id),
  },
  { method: 'GET', path: /^\/healthz$/, takesBody: false, run: (service) => service.health() },
];

/**
 * Calls the operation for a request and returns its response: 404 for an unknown path, 405 for a wrong method.
 * Rejects with the error of the operation or of {@link readBody}.
 */
export async function dispatch(service: NodeService, request: RoutedRequest): Promise<ServiceResponse> {
  const { method, path, message } = request;
  const matches = ROUTES.map((route) => ({ route, match: route.path.exec(path) })).filter((r) => r.match);
  if (matches.length === 0) return { status: 404, body: { error: 'no such path' } };
  const found = matches.find(({ route }) => route.method === method);
  if (!found) return { status: 405, body: { error: 'method not allowed' } };
  const { route, match } = found;
  const body = route.takesBody ? await readBody(message) : undefined;
  return route.run(service, { id: match?.[1] ?? '', body });
}
