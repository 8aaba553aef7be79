// A TCP proxy on loopback that can drop or refuse what passes, for cuts between two processes.
import { connect, createServer } from 'node:net';

export class Proxy {
  isCut = false;
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
      // Behind a cut bytes are lost without an error; both ends wait.
      client.on('data', (bytes) => this.isCut || upstream.write(bytes));
      upstream.on('data', (bytes) => this.isCut || client.write(bytes));
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
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
