/** The HTTP client of the service and of its users' tools: HTTP/1.1 with MessagePack bodies. */
import { Agent, type IncomingMessage, request, type RequestOptions } from 'node:http';
import { decode, encode, type WireFields, isWireFields } from './codec.js';
import { type Micros, MS } from './time.js';

/** The maximum size, in bytes, of the body of a request, and of a response to a user or worker. */
export const MAX_BODY_BYTES = 64 * 1024;

const MAX_IDLE_CONNECTIONS = 8;
const MIN_ERROR_STATUS = 400;

/** The HTTP methods that the protocols use. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** The response of a server. */
export interface HttpReply {
  readonly status: number;
  /** An empty map if the response had no body or the body was not a map. */
  readonly body: WireFields;
}

/**
 * Sends one request and resolves with its response. `body` is undefined for a request without a body. Rejects if there
 * is no response in time, the connection fails, or the body of a response with a status below 400 can't be decoded.
 */
export type HttpClient = (
  endpoint: string,
  method: HttpMethod,
  path: string,
  body: unknown,
  timeout: Micros,
) => Promise<HttpReply>;

/** There was no response in time. The server may or may not have executed the request. */
export class RequestTimeoutError extends Error {
  constructor(readonly endpoint: string) {
    super(`no response from ${endpoint} in time`);
    this.name = 'RequestTimeoutError';
  }
}

/** The connection was closed during the response. The server may or may not have executed the request. */
export class ResponseAbortedError extends Error {
  constructor(readonly endpoint: string) {
    super(`response from ${endpoint} aborted`);
    this.name = 'ResponseAbortedError';
  }
}

/** Splits an address of the form `host:port`, as the settings give it. */
export function parseEndpoint(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Creates the {@link HttpClient} for real servers. It reuses connections, at most `maxSockets` of them per endpoint. */
export function createHttpClient(maxSockets: number): HttpClient {
  const agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: MAX_IDLE_CONNECTIONS });
  return (endpoint, method, path, body, timeout) => {
    const payload = body === undefined ? null : encode(body);
    const headers = payload ? payloadHeaders(payload) : {};
    const options = { ...parseEndpoint(endpoint), method, path, agent, headers };
    return exchange({ endpoint, options, payload, timeout });
  };
}

/** One request to a server, ready to be sent. */
interface Exchange {
  readonly endpoint: string;
  readonly options: RequestOptions;
  readonly payload: Buffer | null;
  readonly timeout: Micros;
}

function payloadHeaders(payload: Buffer): Record<string, string | number> {
  return { 'Content-Type': 'application/msgpack', 'Content-Length': payload.length };
}

function exchange({ endpoint, options, payload, timeout }: Exchange): Promise<HttpReply> {
  return new Promise((resolve, reject) => {
    const fail = (cause: Error): void => {
      clearTimeout(timer);
      outgoing.destroy();
      reject(cause);
    };
    const outgoing = request(options, (response) => {
      readReply(response, endpoint).then((reply) => {
        clearTimeout(timer);
        resolve(reply);
      }, fail);
    });
    const timer = setTimeout(() => {
      fail(new RequestTimeoutError(endpoint));
    }, timeout / MS);
    outgoing.on('error', fail);
    outgoing.end(payload ?? undefined);
  });
}

function readReply(response: IncomingMessage, endpoint: string): Promise<HttpReply> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', reject);
    response.on('aborted', () => {
      reject(new ResponseAbortedError(endpoint));
    });
    response.on('end', () => {
      try {
        resolve(decodeReply(response.statusCode ?? 0, Buffer.concat(chunks)));
      } catch (cause) {
        reject(cause instanceof Error ? cause : new Error(String(cause), { cause }));
      }
    });
  });
}

function decodeReply(status: number, bytes: Buffer): HttpReply {
  if (bytes.length === 0) return { status, body: {} };
  try {
    const value = decode(bytes);
    return { status, body: isWireFields(value) ? value : {} };
  } catch (cause) {
    // The body of an error response may be anything, such as HTML. Its status is still valid.
    if (status >= MIN_ERROR_STATUS) return { status, body: {} };
    throw cause;
  }
}
