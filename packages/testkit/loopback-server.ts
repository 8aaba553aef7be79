/** Serves a simulated service over real HTTP on loopback. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { decode, encode, type HttpMethod } from '#wire';
import type { Handler } from './sim-net.js';

/** A running server. */
export interface LoopbackServer {
  address: string;
  close(): void;
}

/** Serves requests at a free port of the loopback interface. */
export async function serveOnLoopback(handler: Handler): Promise<LoopbackServer> {
  const server: Server = createServer((request, response) => {
    void readBody(request).then(async (body) => {
      const { status, body: responseBody } = await handler(
        '',
        request.method as HttpMethod,
        request.url ?? '/',
        body,
      );
      response.statusCode = status;
      response.end(encode(responseBody));
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Returns a port that is free at the moment, for a process that will listen at it. */
export async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function readBody(request: IncomingMessage): Promise<unknown> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      resolve(chunks.length > 0 ? decode(Buffer.concat(chunks)) : undefined);
    });
  });
}
