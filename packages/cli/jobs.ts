/** Implements `micaworks submit`, `show` and `withdraw` as a client of the service's HTTP interface for users. */
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
import { validateAddress } from './address.js';
import { CommandFailure, messageOf, UsageError } from './errors.js';
import type { Print } from './output.js';

/** Maximum time for which a request is retried while the service is unavailable. */
const MAX_RETRY_MS = 60_000;
/** Pause between two attempts of a request. */
const RETRY_PAUSE_MS = 1000;
const RESPONSE_TIMEOUT = 5 * SECOND;
/** HTTP statuses of a service that is temporarily unavailable. */
const UNAVAILABLE_STATUSES: readonly number[] = [429, 503, 504];
const STDIN_FD = 0;
const OK_STATUSES: readonly number[] = [200, 201];

/** A request to the HTTP interface that a node offers to users. */
interface UserRequest {
  /** Address of the node, as given on the command line. */
  readonly node: string;
  readonly method: HttpMethod;
  readonly path: string;
  readonly body?: object;
}

/** A request that may be retried: the node could not be reached, or the service is temporarily unavailable. */
interface UnservedRequest {
  readonly kind: 'unserved';
  readonly reason: string;
}

/** A request that the service has answered, with success or with an error that a retry would not change. */
interface ServedRequest {
  readonly kind: 'served';
  readonly reply: HttpReply;
}

/**
 * Reads a job from a JSON file and returns the body of its submission; `-` reads standard input. Throws
 * {@link UsageError} if the file can't be read or the job is invalid.
 */
export function readSubmission(file: string): object {
  const parsed = parseSubmission(parseJson(file, readText(file)));
  if ('invalid' in parsed) throw new UsageError(`${file}: ${parsed.invalid} is missing or invalid`);
  return encodeSubmission(parsed.job);
}

/** Submits the job in a JSON file and prints the job's state. */
export async function submitJob(file: string, node: string, print: Print): Promise<void> {
  const body = readSubmission(file);
  printState(await sendWithRetries({ node, method: 'POST', path: '/submissions', body }), print);
}

/** Prints the state of a job. */
export async function showJob(id: string, node: string, print: Print): Promise<void> {
  printState(
    await sendWithRetries({ node, method: 'GET', path: `/submissions/${validateJobId(id)}` }),
    print,
  );
}

/** Cancels a job and prints its state. */
export async function withdrawJob(id: string, node: string, print: Print): Promise<void> {
  printState(
    await sendWithRetries({ node, method: 'POST', path: `/submissions/${validateJobId(id)}/withdraw` }),
    print,
  );
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

function validateJobId(id: string): string {
  const isValid: boolean = isJobId(id);
  if (isValid) return id;
  throw new UsageError(`${id}: invalid job id; expected an id such as j-000412`);
}

/**
 * Returns the service's reply. Retries the request while the service is unavailable, and throws {@link CommandFailure}
 * after {@link MAX_RETRY_MS}.
 */
async function sendWithRetries(request: UserRequest): Promise<HttpReply> {
  const client = createHttpClient(1);
  validateAddress(request.node);
  const deadlineMs = Date.now() + MAX_RETRY_MS;
  for (;;) {
    const result = await sendOnce(client, request);
    if (result.kind === 'served') return result.reply;
    if (Date.now() + RETRY_PAUSE_MS > deadlineMs) {
      throw new CommandFailure(
        `${request.node}: service unavailable for ${MAX_RETRY_MS / 1000} s (${result.reason}); try another node`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS));
  }
}

async function sendOnce(
  client: HttpClient,
  { node, method, path, body }: UserRequest,
): Promise<ServedRequest | UnservedRequest> {
  try {
    const reply = await client(node, method, path, body, RESPONSE_TIMEOUT);
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
    throw new CommandFailure(`request refused with status ${status}: ${reason}`);
  }
  const { Uid: id, done, running } = body;
  const hasCounts = isPresent(done) && isPresent(running);
  const counts = hasCounts ? `, ${String(done)} tasks done, ${String(running)} running` : '';
  print(`${String(id)}: ${decodeJobStatus(body) ?? 'unknown state'}${counts}`);
}
