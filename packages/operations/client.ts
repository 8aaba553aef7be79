/** A client of the operators' listeners. */
import { type IncomingMessage, request } from 'node:http';
import { splitAddress } from '#wire';
import type { NodeDutyReport, NodeLossReport, ResignResult } from './messages.js';

/** What became of a request to one node. */
export type NodeAnswer<T> =
  { node: string; kind: 'answered'; value: T } | { node: string; kind: 'silent'; reason: string };

const TIMEOUT_MS = 3000;
/** Handing a duty over waits for what is under way. */
const RESIGN_TIMEOUT_MS = 15_000;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Asks every node at the same time; those that don't answer are named with the reason. */
export function askDuties(nodes: readonly string[]): Promise<NodeAnswer<NodeDutyReport>[]> {
  return Promise.all(nodes.map((node) => exchange<NodeDutyReport>(node, 'GET', '/duties', null, TIMEOUT_MS)));
}

/** Asks every node at the same time what it knows of lost state. */
export function askLoss(nodes: readonly string[]): Promise<NodeAnswer<NodeLossReport>[]> {
  return Promise.all(
    nodes.map((node) => exchange<NodeLossReport>(node, 'GET', '/recovery', null, TIMEOUT_MS)),
  );
}

export function askToResign(node: string, duty: string): Promise<NodeAnswer<ResignResult>> {
  return exchange<ResignResult>(node, 'POST', '/duties/resign', { duty }, RESIGN_TIMEOUT_MS);
}

/** The lines of a node's snapshot; fails with what the node says if it has none. */
export async function openSnapshot(node: string): Promise<IncomingMessage> {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    const call = request({ ...splitAddress(node), path: '/snapshot', timeout: TIMEOUT_MS }, resolve);
    call.on('timeout', () => call.destroy(new Error('no answer in time')));
    call.on('error', reject);
    call.end();
  });
  if (response.statusCode === 200) return response;
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const value = parse(Buffer.concat(chunks).toString('utf8'));
  throw new Error(String(value?.['error'] ?? `answered with status ${response.statusCode}`));
}

function exchange<T>(
  node: string,
  method: string,
  path: string,
  body: object | null,
  timeoutMs: number,
): Promise<NodeAnswer<T>> {
  return new Promise((resolve) => {
    const silent = (reason: string): void => {
      resolve({ node, kind: 'silent', reason });
    };
    const call = request({ ...splitAddress(node), method, path, timeout: timeoutMs }, (response) => {
      const chunks: Buffer[] = [];
      let size = 0;
      response.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > MAX_ANSWER_BYTES) call.destroy(new Error('its answer is too large'));
        else chunks.push(chunk);
      });
      response.on('end', () => {
        clearTimeout(deadline);
        const value = parse(Buffer.concat(chunks).toString('utf8'));
        if (value === null) silent('its answer is not JSON');
        else if ('error' in value) silent(String(value['error']));
        else resolve({ node, kind: 'answered', value: value as T });
      });
    });
    // Counts from the start: a node that sends a byte now and then must not hold the client for ever.
    const deadline = setTimeout(() => call.destroy(new Error('no answer in time')), timeoutMs);
    call.on('error', (cause) => {
      clearTimeout(deadline);
      silent(cause.message);
    });
    call.end(body === null ? undefined : JSON.stringify(body));
  });
}

function parse(text: string): Record<string, unknown> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}
