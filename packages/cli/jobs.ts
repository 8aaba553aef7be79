/** `micaworks submit`, `show` and `withdraw`: a client of the service over the published wire package. */
import { readFileSync } from 'node:fs';
import {
  type HttpClient,
  decodeJobStatus,
  encodeSubmission,
  createHttpClient,
  isJobId,
  type HttpMethod,
  parseSubmission,
  type HttpReply,
  SECOND,
} from '#wire';
import { checkAddress } from './address.js';
import { CommandFailure, messageOf, UsageError } from './errors.js';
import type { Print } from './output.js';

/** A request is retried for so long while the service is unavailable, with this pause between attempts. */
const RETRY_FOR_MS = 60_000;
const RETRY_PAUSE_MS = 1000;
const RESPONSE_TIMEOUT = 5 * SECOND;
/** Statuses of a service that is temporarily unavailable. */
const UNAVAILABLE_STATUSES: readonly number[] = [429, 503, 504];
const STDIN_FD = 0;
const OK_STATUSES: readonly number[] = [200, 201];

/** One request to a node that serves users. */
interface UserRequest {
  /** Address of the node, as given. */
  readonly node: string;
  readonly method: HttpMethod;
  readonly path: string;
  readonly body?: object;
}

/** A request that failed for now: the service was not reached, or is temporarily unavailable. */
interface Unserved {
  readonly kind: 'unserved';
  readonly reason: string;
}

/** A request that the service has answered. */
interface Served {
  readonly kind: 'served';
  readonly reply: HttpReply;
}

/** The job that a file describes, in the service's own JSON form; `-` reads standard input. */
export function readSubmission(file: string): object {
  const parsed = parseSubmission(parseJson(file, readText(file)));
  if ('invalid' in parsed) throw new UsageError(`${file}: ${parsed.invalid} is missing or invalid`);
  return encodeSubmission(parsed.job);
}

/** Submits the job that a file describes, and prints its state. */
export async function submitJob(file: string, node: string, print: Print): Promise<void> {
  const body = readSubmission(file);
  printState(await ask({ node, method: 'POST', path: '/submissions', body }), print);
}

/** Prints the state of a job. */
export async function showJob(id: string, node: string, print: Print): Promise<void> {
  printState(await ask({ node, method: 'GET', path: `/submissions/${checkId(id)}` }), print);
}

/** Cancels a job, and prints its state. */
export async function withdrawJob(id: string, node: string, print: Print): Promise<void> {
  printState(await ask({ node, method: 'POST', path: `/submissions/${checkId(id)}/withdraw` }), print);
}

function readText(file: string): string {
  try {
    return readFileSync(file === '-' ? STDIN_FD : file, 'utf8');
  } catch (cause) {
    throw new UsageError(`${file}: ${messageOf(cause)}`, { cause });
  }
}

function parseJson(file: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new UsageError(`${file}: not JSON`, { cause });
  }
}

function checkId(id: string): string {
  const isValid: boolean = isJobId(id);
  if (isValid) return id;
  throw new UsageError(`${id}: not a job id; they look like j-000412`);
}

/** The service's reply; while the service is unavailable the request is retried for {@link RETRY_FOR_MS}. */
async function ask(request: UserRequest): Promise<HttpReply> {
  const call = createHttpClient(1);
  checkAddress(request.node);
  const until = Date.now() + RETRY_FOR_MS;
  for (;;) {
    const outcome = await tryOnce(call, request);
    if (outcome.kind === 'served') return outcome.reply;
    if (Date.now() + RETRY_PAUSE_MS > until) {
      throw new CommandFailure(
        `${request.node}: not served for ${RETRY_FOR_MS / 1000} s (${outcome.reason}); try another node`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS));
  }
}

async function tryOnce(
  call: HttpClient,
  { node, method, path, body }: UserRequest,
): Promise<Served | Unserved> {
  try {
    const reply = await call(node, method, path, body, RESPONSE_TIMEOUT);
    if (!UNAVAILABLE_STATUSES.includes(reply.status)) return { kind: 'served', reply };
    return { kind: 'unserved', reason: `status ${reply.status}` };
  } catch (cause) {
    return { kind: 'unserved', reason: messageOf(cause) };
  }
}

function isPresent(field: unknown): boolean {
  return field !== undefined;
}

function printState({ status, body }: HttpReply, print: Print): void {
  if (!OK_STATUSES.includes(status)) {
    const reason = typeof body['error'] === 'string' ? body['error'] : 'no reason given';
    throw new CommandFailure(`refused with ${status}: ${reason}`);
  }
  const { Uid: id, done, running } = body;
  const hasCounts = isPresent(done) && isPresent(running);
  const counts = hasCounts ? `, ${String(done)} tasks done, ${String(running)} running` : '';
  print(`${String(id)}: ${decodeJobStatus(body) ?? 'unknown state'}${counts}`);
}
