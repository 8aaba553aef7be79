/** The paths of the operators' listener, and what each answers. */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { type RoleName, parseRoleName } from '#roles';
import { encodeRoles, encodeRecovery, encodeResignResult } from './answer-codec.js';
import type { OperatedNode } from './messages.js';
import { readJsonBody } from './request-body.js';
import { OperatorRequestError } from './request-error.js';

/** A response: its body is sent as JSON, or as it is if it is a stream. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: object;
}

/** The one method of a path, and its handler. */
interface Route {
  readonly method: 'GET' | 'POST';
  handle(node: OperatedNode, request: IncomingMessage): OperatorResponse | Promise<OperatorResponse>;
}

const ROUTES: ReadonlyMap<string, Route> = new Map<string, Route>([
  ['/duties', { method: 'GET', handle: (node) => ok(encodeRoles(node.roleStatus())) }],
  ['/duties/resign', { method: 'POST', handle: resignRole }],
  ['/recovery', { method: 'GET', handle: (node) => ok(encodeRecovery(node.dataLossStatus())) }],
  ['/snapshot', { method: 'GET', handle: sendSnapshot }],
]);

/** Answers a request for a path; fails with {@link OperatorRequestError} if it is rejected. */
export async function handleRequest(
  node: OperatedNode,
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

function sendSnapshot(node: OperatedNode): OperatorResponse {
  const lines = node.snapshot();
  if (lines === null) throw new OperatorRequestError(503, 'this node holds no copy of the state yet');
  return ok(Readable.from(lines, { objectMode: false }));
}

async function resignRole(node: OperatedNode, request: IncomingMessage): Promise<OperatorResponse> {
  const role = roleNamedBy(await readJsonBody(request));
  if (role === null) throw new OperatorRequestError(400, 'duty: must be lead or share/N');
  const answer = encodeResignResult(await node.resign(role));
  return { status: answer.kind === 'handed_over' ? 200 : 409, body: answer };
}

/** The role that the body of a request names; null if it names none. */
function roleNamedBy(body: unknown): RoleName | null {
  if (typeof body !== 'object' || body === null || !('duty' in body)) return null;
  return typeof body.duty === 'string' ? parseRoleName(body.duty) : null;
}
