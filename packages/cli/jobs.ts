/** `micaworks submit`, `show` and `withdraw`: a client of the service over the published wire package. */
import { readFileSync } from 'node:fs';
import {
  type Caller,
  decodeJobStatus,
  encodeSubmission,
  httpCaller,
  isJobId,
  type Method,
  parseSubmission,
  type Reply,
  SECOND,
} from '#wire';
import { checkAddress } from './address.js';
import { failure, messageOf, usageError } from './errors.js';
import type { Print } from './output.js';

/** How long a request is repeated that the service can't take at the moment, as its users do. */
const TRY_FOR_MS = 60_000;
const PAUSE_MS = 1000;
const ANSWER_WITHIN = 5 * SECOND;
const UNAVAILABLE = [429, 503, 504];

/** The job that a file describes, in the service's own JSON form. */
export function readSubmission(file: string): object {
  let text: string;
  try {
    text = readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch (cause) {
    throw usageError(`${file}: ${messageOf(cause)}`);
  }
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    throw usageError(`${file}: not JSON`);
  }
  const parsed = parseSubmission(body);
  if ('invalid' in parsed) throw usageError(`${file}: ${parsed.invalid} is missing or invalid`);
  return encodeSubmission(parsed.job);
}

export async function submitJob(file: string, node: string, print: Print): Promise<void> {
  const body = readSubmission(file);
  printState(await ask(node, 'POST', '/submissions', body), print);
}

export async function showJob(id: string, node: string, print: Print): Promise<void> {
  printState(await ask(node, 'GET', `/submissions/${checkId(id)}`), print);
}

export async function withdrawJob(id: string, node: string, print: Print): Promise<void> {
  printState(await ask(node, 'POST', `/submissions/${checkId(id)}/withdraw`), print);
}

function checkId(id: string): string {
  if (isJobId(id)) return id;
  throw usageError(`${id}: not a job id; they look like j-000412`);
}

async function ask(node: string, method: Method, path: string, body?: object): Promise<Reply> {
  const call = httpCaller(1);
  const address = checkAddress(node);
  const until = Date.now() + TRY_FOR_MS;
  for (;;) {
    const reply = await tryOnce(call, address, method, path, body);
    const isAway = !(reply instanceof Error) && UNAVAILABLE.includes(reply.status);
    if (!(reply instanceof Error) && !isAway) return reply;
    if (Date.now() + PAUSE_MS > until) {
      const reason = reply instanceof Error ? reply.message : `status ${reply.status}`;
      throw failure(`${node}: not served for ${TRY_FOR_MS / 1000} s (${reason}); try another node`);
    }
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
}

function tryOnce(
  call: Caller,
  address: string,
  method: Method,
  path: string,
  body?: object,
): Promise<Reply | Error> {
  return call(address, method, path, body, ANSWER_WITHIN).catch((cause: unknown) =>
    cause instanceof Error ? cause : new Error(String(cause)),
  );
}

function printState({ status, body }: Reply, print: Print): void {
  const state = decodeJobStatus(body);
  if (status !== 200 && status !== 201) {
    const reason = typeof body['error'] === 'string' ? body['error'] : 'no reason given';
    throw failure(`refused with ${status}: ${reason}`);
  }
  const counts = [body['done'], body['running']].every((n) => n !== undefined)
    ? `, ${String(body['done'])} tasks done, ${String(body['running'])} running`
    : '';
  print(`${String(body['Uid'])}: ${state ?? 'unknown state'}${counts}`);
}
