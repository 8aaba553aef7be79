/** The HTTP client that the service and its clients share: HTTP/1.1 with MessagePack bodies. */
import { Agent, type IncomingMessage, request, type RequestOptions } from 'node:http';
import { decode, encode, type WireFields, isWireFields } from './codec.js';
import { type Micros, MS } from './time.js';

/** The largest body of a request, and of an answer to a user or worker, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

const MAX_IDLE_CONNECTIONS = 8;
const MIN_ERROR_STATUS = 400;

/** The methods that the protocol uses. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** A server's response. */
export interface HttpReply {
  readonly status: number;
  /** Empty if the body was empty or no map. */
  readonly body: WireFields;
}

/**
 * One exchange with a server. Rejects when no response came in time, the connection failed, or the body of a response
 * that isn't an error can't be decoded. Without a body (undefined) the request has none.
 */
export type HttpClient = (
  endpoint: string,
  method: HttpMethod,
  path: string,
  body: unknown,
  timeout: Micros,
) => Promise<HttpReply>;

/** No response came in time: whether the request was carried out is unknown. */
export class RequestTimeoutError extends Error {
  constructor(readonly endpoint: string) {
    super(`no response from ${endpoint} in time`);
    this.name = 'RequestTimeoutError';
  }
}

/** The connection ended within the response: whether the request was carried out is unknown. */
export class ResponseAbortedError extends Error {
  constructor(readonly endpoint: string) {
    super('aborted');
    this.name = 'ResponseAbortedError';
  }
}

/** Host and port of an address that the settings give as `host:port`. */
export function parseEndpoint(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** The {@link HttpClient} for real servers. Connections are kept open and reused, with at most `maxSockets` per endpoint. */
export function createHttpClient(maxSockets: number): HttpClient {
  const agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: MAX_IDLE_CONNECTIONS });
  return (endpoint, method, path, body, timeout) => {
    const payload = body === undefined ? null : encode(body);
    const headers = payload ? payloadHeaders(payload) : {};
    const options = { ...parseEndpoint(endpoint), method, path, agent, headers };
    return exchange({ endpoint, options, payload, timeout });
  };
}

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
    // An error page need not be MessagePack; its status still counts.
    if (status >= MIN_ERROR_STATUS) return { status, body: {} };
    throw cause;
  }
}
