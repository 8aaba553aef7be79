// A TCP proxy on loopback that can hold back or reset what passes, for cuts between two processes.
import { connect, createServer } from 'node:net';

export class Proxy {
  #isCut = false;
  #held = [];
  #pairs = new Set();

  /** `target`: `host:port`, which need not listen yet. */
  constructor(target) {
    this.target = target;
  }

  async listen() {
    this.server = createServer((client) => {
      const [host, port] = this.target.split(':');
      const upstream = connect(Number(port), host);
      const pair = { client, upstream };
      this.#pairs.add(pair);
      const end = () => {
        this.#pairs.delete(pair);
        client.destroy();
        upstream.destroy();
      };
      for (const socket of [client, upstream]) {
        socket.on('error', end);
        socket.on('close', end);
      }
      client.on('data', (bytes) => this.#pass(upstream, bytes));
      upstream.on('data', (bytes) => this.#pass(client, bytes));
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Cuts the link or restores it. Behind a cut both ends wait; what was held is delivered late, in order. */
  setCut(isCut) {
    this.#isCut = isCut;
    if (isCut) return;
    for (const { socket, bytes } of this.#held.splice(0)) if (!socket.destroyed) socket.write(bytes);
  }

  #pass(socket, bytes) {
    if (this.#isCut) this.#held.push({ socket, bytes });
    else socket.write(bytes);
  }

  /** Ends all open connections, as a cut that resets them does. */
  reset() {
    for (const { client, upstream } of [...this.#pairs]) {
      client.destroy();
      upstream.destroy();
    }
  }

  close() {
    this.reset();
    this.server.close();
  }
}
