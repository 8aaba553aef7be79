/** HTTP/1.1 with MessagePack bodies, as PROTOCOL-micaworks.md describes it. */
import { Agent, createServer, request } from 'node:http';
import { Packr } from 'msgpackr';

const packr = new Packr({
  useRecords: false,
  mapsAsObjects: true,
  int64AsType: 'auto',
  variableMapSize: true,
});

export const encode = (value) => packr.pack(value);
export const decode = (bytes) => packr.unpack(bytes);
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Serves `handler(method, url, body)` on a free loopback port. The handler resolves to `{status, body, headers}`, to
 * 'silent' (the request is never answered) or to 'reset' (the connection is reset).
 */
export async function serve(handler) {
  const sockets = new Set();
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('error', () => undefined);
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', async () => {
      let body;
      try {
        body = chunks.length > 0 ? decode(Buffer.concat(chunks)) : undefined;
      } catch {
        res.writeHead(400).end();
        return;
      }
      const reply = await handler(req.method, new URL(req.url, 'http://stand-in'), body);
      if (reply === 'silent') return;
      if (reply === 'reset') {
        req.socket.resetAndDestroy();
        return;
      }
      if (res.destroyed) return;
      const bytes = encode(reply.body ?? {});
      res.writeHead(reply.status, { 'Content-Type': 'application/msgpack', 'Content-Length': bytes.length });
      res.end(bytes);
    });
  });
  server.keepAliveTimeout = 3_600_000;
  server.requestTimeout = 0;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/** A client with one kept-open connection per endpoint. Resolves to `{status, body, headers}`; status 0: no response. */
export function client() {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const send = (endpoint, method, path, body, timeoutMs) =>
    new Promise((resolve) => {
      const [host, port] = endpoint.split(':');
      const payload = body === undefined ? null : encode(body);
      const headers = payload
        ? { 'Content-Type': 'application/msgpack', 'Content-Length': payload.length }
        : {};
      const req = request({ host, port, method, path, agent, headers });
      let isOver = false;
      const finish = (reply) => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        resolve(reply);
      };
      const timer = setTimeout(() => {
        finish({ status: 0, body: {}, headers: {}, why: 'no response' });
        req.destroy();
      }, timeoutMs);
      req.on('error', (cause) => finish({ status: 0, body: {}, headers: {}, why: String(cause.code) }));
      req.on('response', (res) => {
        const chunks = [];
        res.on('error', () => undefined);
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('close', () => finish({ status: 0, body: {}, headers: {}, why: 'cut off' }));
        res.on('end', () => {
          let decoded = {};
          try {
            if (chunks.length > 0) decoded = decode(Buffer.concat(chunks));
          } catch {
            decoded = {};
          }
          finish({ status: res.statusCode, body: decoded ?? {}, headers: res.headers });
        });
      });
      req.end(payload ?? undefined);
    });
  send.close = () => agent.destroy();
  return send;
}
