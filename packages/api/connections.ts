import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * The open connections of the HTTP side, kept within a limit: beyond it the one that has been idle longest gives
 * way. Machines that died or were cut off leave connections that nobody will ever close, and after a failure
 * all workers may come to one node at once; without a limit of its own the node would hit the machine's, which
 * fails links to peers, to the state service and to the cloud just as readily.
 */
export class Connections {
  /** Requests under way on each connection, the longest unused connection first. */
  private readonly open = new Map<Socket, number>();

  constructor(
    server: Server,
    private readonly most: number,
  ) {
    server.on('connection', (socket: Socket) => {
      this.admit(socket);
    });
    server.on('request', (req: IncomingMessage, res: ServerResponse) => {
      this.use(req.socket, 1);
      res.once('close', () => {
        this.use(req.socket, -1);
      });
    });
  }

  private admit(socket: Socket): void {
    this.open.set(socket, 0);
    socket.once('close', () => {
      this.open.delete(socket);
    });
    if (this.open.size > this.most) this.giveWay();
  }

  private use(socket: Socket, change: 1 | -1): void {
    const busy = this.open.get(socket);
    if (busy === undefined) return;
    // Taken out and put back, so that the order of the map is that of the last use.
    this.open.delete(socket);
    this.open.set(socket, busy + change);
  }

  /** The newest connection is idle, too: it is refused when all others are at work. */
  private giveWay(): void {
    for (const [socket, busy] of this.open) {
      if (busy > 0) continue;
      this.open.delete(socket);
      socket.destroy();
      return;
    }
  }
}
