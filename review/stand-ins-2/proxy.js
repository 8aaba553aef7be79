/** A TCP proxy on loopback that passes, holds, drops or resets what it carries. */
import { connect, createServer } from 'node:net';

export class Proxy {
  /** 'pass'; 'hold': bytes wait and are delivered in order later; 'drop': bytes are lost; 'reset': connections end. */
  mode = 'pass';
  links = new Set();

  constructor(target) {
    this.target = target;
  }

  async open() {
    this.server = createServer((near) => this.accept(near));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  accept(near) {
    near.on('error', () => undefined);
    if (this.mode === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect({ host, port: Number(port) });
    far.on('error', () => near.resetAndDestroy());
    const link = { near, far, held: [] };
    this.links.add(link);
    const carry = (from, to) => {
      from.on('data', (bytes) => {
        if (this.mode === 'pass') to.write(bytes);
        else if (this.mode === 'hold') link.held.push([to, bytes]);
      });
      from.on('end', () => {
        if (this.mode === 'pass') to.end();
        else if (this.mode === 'hold') link.held.push([to, null]);
      });
      from.on('close', () => {
        if (this.mode === 'pass' && link.held.length === 0) to.destroy();
        if (near.destroyed && far.destroyed) this.links.delete(link);
      });
    };
    carry(near, far);
    carry(far, near);
  }

  set(mode) {
    this.mode = mode;
    for (const link of [...this.links]) {
      if (mode === 'reset') {
        link.near.resetAndDestroy();
        link.far.resetAndDestroy();
        this.links.delete(link);
      } else if (mode === 'pass') {
        for (const [to, bytes] of link.held) {
          if (to.destroyed) continue;
          if (bytes === null) to.end();
          else to.write(bytes);
        }
        link.held = [];
        // A side that gave up during the cut closes now.
        if (link.near.destroyed) link.far.end();
        if (link.far.destroyed) link.near.end();
      }
    }
  }

  close() {
    this.server.close();
    for (const { near, far } of this.links) {
      near.destroy();
      far.destroy();
    }
  }
}
