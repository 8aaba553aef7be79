/** A client of the operators' listeners. */
import { type ClientRequest, type IncomingMessage, request } from 'node:http';
import { parseEndpoint } from '#wire';
import type { RolesAnswer, RecoveryAnswer, ResignAnswer } from './answer-codec.js';

/** Result of a request to one node: its answer, or the reason why there is none. */
export type NodeAnswer<T> =
  | { readonly node: string; readonly kind: 'answered'; readonly value: T }
  | { readonly node: string; readonly kind: 'silent'; readonly reason: string };

/** A node that can't be reached, or gives an invalid answer; the message says which. */
export class NodeRequestError extends Error {
  override readonly name = 'NodeRequestError';
}

/** One request to one node. */
interface NodeRequest {
  readonly node: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON; null for none. */
  readonly body: object | null;
  /** For the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
}

const TIMEOUT_MS = 3000;
/** Handing a role over waits for requests in flight. */
const RESIGN_TIMEOUT_MS = 15_000;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Asks every node at the same time for its view of the roles; the result names those that don't answer, with the reason. */
export function askRoles(nodes: readonly string[]): Promise<NodeAnswer<RolesAnswer>[]> {
  return Promise.all(nodes.map((node) => get<RolesAnswer>(node, '/duties')));
}

/** Asks every node at the same time for its data-loss report. */
export function askLoss(nodes: readonly string[]): Promise<NodeAnswer<RecoveryAnswer>[]> {
  return Promise.all(nodes.map((node) => get<RecoveryAnswer>(node, '/recovery')));
}

/** Asks a node to hand over the role of this name (`lead` or `share/N`). */
export function askToResign(node: string, role: string): Promise<NodeAnswer<ResignAnswer>> {
  return ask<ResignAnswer>({
    node,
    method: 'POST',
    path: '/duties/resign',
    body: { duty: role },
    timeoutMs: RESIGN_TIMEOUT_MS,
  });
}

/** The lines of a node's snapshot; fails with {@link NodeRequestError} and the node's reason if it has none. */
export async function openSnapshot(node: string): Promise<IncomingMessage> {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    const call = request({ ...parseEndpoint(node), path: '/snapshot', timeout: TIMEOUT_MS }, resolve);
    call.on('timeout', () => call.destroy(new NodeRequestError('no answer in time')));
    call.on('error', reject);
    call.end();
  });
  if (response.statusCode === 200) return response;
  const chunks: Buffer[] = [];
  for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
  const answer = parseAnswer(Buffer.concat(chunks));
  const error: unknown = answer?.['error'] ?? `answered with status ${response.statusCode}`;
  throw new NodeRequestError(String(error));
}

function get<T>(node: string, path: string): Promise<NodeAnswer<T>> {
  return ask<T>({ node, method: 'GET', path, body: null, timeoutMs: TIMEOUT_MS });
}

/** Sends a request; it never rejects, since the result names the failure. */
async function ask<T>(toSend: NodeRequest): Promise<NodeAnswer<T>> {
  const { node } = toSend;
  try {
    const answer = parseAnswer(await exchange(toSend));
    if (answer === null) return { node, kind: 'silent', reason: 'its answer is not JSON' };
    if ('error' in answer) return { node, kind: 'silent', reason: String(answer['error']) };
    return { node, kind: 'answered', value: answer as T };
  } catch (cause) {
    return { node, kind: 'silent', reason: cause instanceof Error ? cause.message : String(cause) };
  }
}

/** The bytes that a node answers. */
function exchange({ node, method, path, body, timeoutMs }: NodeRequest): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const call = request({ ...parseEndpoint(node), method, path, timeout: timeoutMs }, (response) => {
      response.on('end', () => {
        clearTimeout(deadline);
      });
      collectBody(call, response, resolve);
    });
    // Counts from the start: a node that sends single bytes slowly must not block the client for ever.
    const deadline = setTimeout(() => call.destroy(new NodeRequestError('no answer in time')), timeoutMs);
    call.on('error', (cause) => {
      clearTimeout(deadline);
      reject(cause);
    });
    call.end(body === null ? undefined : JSON.stringify(body));
  });
}

/** Collects the body of a response; ends the call with an error if it is too long. */
function collectBody(call: ClientRequest, response: IncomingMessage, resolve: (body: Buffer) => void): void {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) call.destroy(new NodeRequestError('its answer is too large'));
    else chunks.push(chunk);
  });
  response.on('end', () => {
    resolve(Buffer.concat(chunks));
  });
}

/** The JSON object of an answer; null if it is no object. */
function parseAnswer(bytes: Buffer): Record<string, unknown> | null {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}
