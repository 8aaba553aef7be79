import { Agent, request } from 'node:http';
import { decode, encode, type Fields, isFields } from './codec.js';
import type { Micros } from './time.js';

/** The largest body of a request, and of an answer to a user or worker, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

export type Method = 'GET' | 'POST' | 'DELETE';

export interface Reply {
  status: number;
  body: Fields;
}

/** One exchange with a server. Rejects when no response came in time, or the connection failed. */
export type Caller = (
  endpoint: string,
  method: Method,
  path: string,
  body: unknown,
  timeout: Micros,
) => Promise<Reply>;

/** Host and port of an address as the settings give it. */
export function splitAddress(address: string): { host: string; port: number } {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
}

/** The real {@link Caller}: HTTP/1.1 with kept connections, MessagePack bodies. */
export function httpCaller(maxSockets: number): Caller {
  const agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: 8 });
  return (endpoint, method, path, body, timeout) =>
    new Promise<Reply>((resolve, reject) => {
      const payload = body === undefined ? null : encode(body);
      const headers: Record<string, string | number> = {};
      if (payload) {
        headers['Content-Type'] = 'application/msgpack';
        headers['Content-Length'] = payload.length;
      }
      const req = request({ ...splitAddress(endpoint), method, path, agent, headers }, (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', fail);
        res.on('aborted', () => {
          fail(new Error('aborted'));
        });
        res.on('end', () => {
          clearTimeout(timer);
          try {
            const value = chunks.length > 0 ? decode(Buffer.concat(chunks)) : {};
            resolve({ status: res.statusCode ?? 0, body: isFields(value) ? value : {} });
          } catch (cause) {
            // An error page need not be MessagePack; its status still counts.
            if ((res.statusCode ?? 0) >= 400) resolve({ status: res.statusCode ?? 0, body: {} });
            else fail(cause instanceof Error ? cause : new Error(String(cause)));
          }
        });
      });
      const fail = (cause: Error): void => {
        clearTimeout(timer);
        req.destroy();
        reject(cause);
      };
      const timer = setTimeout(() => {
        fail(new Error(`no response from ${endpoint} in time`));
      }, timeout / 1000);
      req.on('error', fail);
      req.end(payload ?? undefined);
    });
}
