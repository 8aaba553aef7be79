/** Maps the paths of the operators' listener to their handlers. */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { type RoleName, parseRoleName } from '#roles';
import { encodeRoles, encodeRecovery, encodeResignResult } from './answer-codec.js';
import type { NodeOperations } from './messages.js';
import { readJsonBody } from './request-body.js';
import { OperatorRequestError } from './request-error.js';

/** A response. The body is sent as JSON, or unchanged if it is a stream. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: object;
}

/** The only method that a path accepts, and its handler. */
interface Route {
  readonly method: 'GET' | 'POST';
  handle(node: NodeOperations, request: IncomingMessage): OperatorResponse | Promise<OperatorResponse>;
}

/** Keyed by path. */
const ROUTES: ReadonlyMap<string, Route> = new Map<string, Route>([
  ['/duties', { method: 'GET', handle: (node) => ok(encodeRoles(node.roleStatus())) }],
  ['/duties/resign', { method: 'POST', handle: resignRole }],
  ['/recovery', { method: 'GET', handle: (node) => ok(encodeRecovery(node.dataLossStatus())) }],
  ['/snapshot', { method: 'GET', handle: streamSnapshot }],
]);

/** Handles a request for a path; rejects with {@link OperatorRequestError} if the request is invalid. */
export async function handleRequest(
  node: NodeOperations,
  path: string,
  request: IncomingMessage,
): Promise<OperatorResponse> {
  const route = ROUTES.get(path);
  if (route === undefined) {
    throw new OperatorRequestError(
      404,
      'no such path; there are /duties, /duties/resign, /recovery and /snapshot',
    );
  }
  if (request.method !== route.method) throw new OperatorRequestError(405, `use ${route.method}`);
  return route.handle(node, request);
}

function ok(body: object): OperatorResponse {
  return { status: 200, body };
}

function streamSnapshot(node: NodeOperations): OperatorResponse {
  const lines = node.snapshot();
  if (lines === null) throw new OperatorRequestError(503, 'this node holds no copy of the state yet');
  return ok(Readable.from(lines, { objectMode: false }));
}

async function resignRole(node: NodeOperations, request: IncomingMessage): Promise<OperatorResponse> {
  const role = parseRequestedRole(await readJsonBody(request));
  if (role === null) throw new OperatorRequestError(400, 'duty: must be lead or share/N');
  const answer = encodeResignResult(await node.resign(role));
  return { status: answer.kind === 'handed_over' ? 200 : 409, body: answer };
}

/** Returns the role that the body of a request names; null if the body names no valid role. */
function parseRequestedRole(body: unknown): RoleName | null {
  if (typeof body !== 'object' || body === null || !('duty' in body)) return null;
  return typeof body.duty === 'string' ? parseRoleName(body.duty) : null;
}
