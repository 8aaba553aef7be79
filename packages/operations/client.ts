/** The client of the operators' listeners. */
import { type ClientRequest, type IncomingMessage, request } from 'node:http';
import { parseEndpoint } from '#wire';
import type { RolesAnswer, RecoveryAnswer, ResignAnswer } from './answer-codec.js';

/** Result of a request to one node: the response, or the reason why there is no valid response. */
export type NodeAnswer<T> =
  | { readonly node: string; readonly kind: 'answered'; readonly value: T }
  | { readonly node: string; readonly kind: 'silent'; readonly reason: string };

/** A node did not respond or its response is invalid; the message names the cause. */
export class NodeRequestError extends Error {
  override readonly name = 'NodeRequestError';
}

/** A request to one node. */
interface NodeRequest {
  readonly node: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON; null for a request without a body. */
  readonly body: object | null;
  /** Limit for the request and the response together, in milliseconds. */
  readonly timeoutMs: number;
}

const TIMEOUT_MS = 3000;
/** Longer than the timeout of other requests, since a node completes its requests in flight before it hands off a role. */
const RESIGN_TIMEOUT_MS = 15_000;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Requests every node's view of the roles concurrently; the result includes nodes without a response, with the reason. */
export function requestRoleStatus(nodes: readonly string[]): Promise<NodeAnswer<RolesAnswer>[]> {
  return Promise.all(nodes.map((node) => get<RolesAnswer>(node, '/duties')));
}

/** Requests every node's data-loss status concurrently; the result includes nodes without a response, with the reason. */
export function requestDataLossStatus(nodes: readonly string[]): Promise<NodeAnswer<RecoveryAnswer>[]> {
  return Promise.all(nodes.map((node) => get<RecoveryAnswer>(node, '/recovery')));
}

/** Requests that a node hand off the role of this name (`lead` or `share/N`). */
export function requestResignation(node: string, role: string): Promise<NodeAnswer<ResignAnswer>> {
  return requestAnswer<ResignAnswer>({
    node,
    method: 'POST',
    path: '/duties/resign',
    body: { duty: role },
    timeoutMs: RESIGN_TIMEOUT_MS,
  });
}

/**
 * Opens the stream of a node's snapshot lines. Rejects with {@link NodeRequestError} and the node's reason if the node sends
 * no snapshot, and with the error of the connection if it fails.
 */
export async function openSnapshot(node: string): Promise<IncomingMessage> {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    const clientRequest = request(
      { ...parseEndpoint(node), path: '/snapshot', timeout: TIMEOUT_MS },
      resolve,
    );
    clientRequest.on('timeout', () =>
      clientRequest.destroy(new NodeRequestError(`no response within ${TIMEOUT_MS} ms`)),
    );
    clientRequest.on('error', reject);
    clientRequest.end();
  });
  if (response.statusCode === 200) return response;
  const chunks: Buffer[] = [];
  for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
  const answer = parseAnswer(Buffer.concat(chunks));
  const error: unknown = answer?.['error'] ?? `the node responded with status ${response.statusCode}`;
  throw new NodeRequestError(String(error));
}

function get<T>(node: string, path: string): Promise<NodeAnswer<T>> {
  return requestAnswer<T>({ node, method: 'GET', path, body: null, timeoutMs: TIMEOUT_MS });
}

/** Sends a request and parses the response. It never rejects, because the result names the failure. */
async function requestAnswer<T>(nodeRequest: NodeRequest): Promise<NodeAnswer<T>> {
  const { node } = nodeRequest;
  try {
    const answer = parseAnswer(await sendRequest(nodeRequest));
    if (answer === null) return { node, kind: 'silent', reason: 'the response is not a JSON object' };
    if ('error' in answer) return { node, kind: 'silent', reason: String(answer['error']) };
    return { node, kind: 'answered', value: answer as T };
  } catch (cause) {
    return { node, kind: 'silent', reason: cause instanceof Error ? cause.message : String(cause) };
  }
}

/** Sends a request and returns the bytes of the response; rejects if there is none in time. */
function sendRequest({ node, method, path, body, timeoutMs }: NodeRequest): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const clientRequest = request(
      { ...parseEndpoint(node), method, path, timeout: timeoutMs },
      (response) => {
        response.on('end', () => {
          clearTimeout(deadline);
        });
        collectBody(clientRequest, response, resolve);
      },
    );
    // The deadline covers the whole request, so that a node that sends single bytes slowly can't block the client forever.
    const deadline = setTimeout(
      () => clientRequest.destroy(new NodeRequestError(`no response within ${timeoutMs} ms`)),
      timeoutMs,
    );
    clientRequest.on('error', (cause) => {
      clearTimeout(deadline);
      reject(cause);
    });
    clientRequest.end(body === null ? undefined : JSON.stringify(body));
  });
}

/** Collects the body of a response; destroys the request with an error if the body is too long. */
function collectBody(
  clientRequest: ClientRequest,
  response: IncomingMessage,
  resolve: (body: Buffer) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES)
      clientRequest.destroy(new NodeRequestError(`the response is longer than ${MAX_ANSWER_BYTES} bytes`));
    else chunks.push(chunk);
  });
  response.on('end', () => {
    resolve(Buffer.concat(chunks));
  });
}

/** Parses the bytes of a response; null if they are not a JSON object. */
function parseAnswer(bytes: Buffer): Record<string, unknown> | null {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}
