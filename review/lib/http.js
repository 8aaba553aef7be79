// HTTP with MessagePack bodies, for the stand-ins: a server, a client, and a choice of free ports.
import { Agent, createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { Packr } from 'msgpackr/pack';

const packr = new Packr({
  useRecords: false,
  mapsAsObjects: true,
  int64AsType: 'auto',
  variableMapSize: true,
});

export const encode = (value) => packr.pack(value);
export const decode = (bytes) => packr.unpack(bytes);
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** Size as JSON: the form in which the protocol counts its limits. */
export const jsonBytes = (value) => Buffer.byteLength(JSON.stringify(value));

/** Serves `handle(method, url, body)`, which returns `{ status, body }`, on a free loopback port. */
export async function serve(handle) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => res.destroy());
    req.on('end', async () => {
      const bytes = Buffer.concat(chunks);
      let reply;
      try {
        const body = bytes.length > 0 ? decode(bytes) : undefined;
        reply = await handle(req.method, new URL(req.url, 'http://local'), body);
      } catch (error) {
        reply = { status: 400, body: { error: String(error) } };
      }
      // A handler may give no answer at all.
      if (!reply) return;
      res.statusCode = reply.status;
      res.end(encode(reply.body ?? {}));
    });
  });
  server.keepAliveTimeout = 600_000;
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Returns a port that is free now. It lies below the range from which the system takes ports by itself, so that no
 * other program gets it before the one that it is meant for.
 */
export async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    const server = createTcpServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** Creates a client with connections of its own. A call resolves with `{ status, body }`; status 0: no answer. */
export function createClient() {
  const agent = new Agent({ keepAlive: true, maxSockets: 4 });
  const call = (address, method, path, body, timeoutMs) =>
    new Promise((resolve) => {
      const [host, port] = address.split(':');
      const payload = body === undefined ? null : encode(body);
      const headers = payload
        ? { 'Content-Type': 'application/msgpack', 'Content-Length': payload.length }
        : {};
      const req = request({ host, port, method, path, agent, headers }, (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => fail('reset'));
        res.on('end', () => {
          clearTimeout(timer);
          let decoded = {};
          try {
            const bytes = Buffer.concat(chunks);
            if (bytes.length > 0) decoded = decode(bytes);
          } catch {
            // The body of an error may be anything.
          }
          resolve({ status: res.statusCode, body: decoded, headers: res.headers });
        });
      });
      const fail = (error) => {
        clearTimeout(timer);
        req.destroy();
        resolve({ status: 0, body: {}, headers: {}, error });
      };
      const timer = setTimeout(() => fail('timeout'), timeoutMs);
      req.on('error', (error) => fail(error.code ?? String(error)));
      req.end(payload ?? undefined);
    });
  call.close = () => agent.destroy();
  return call;
}
