/** Keeps the open connections of the HTTP server within a limit. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Limits the open connections of a server: beyond the limit the one that has been idle longest is closed. Machines that
 * died or are behind a network partition leave connections that nobody will ever close, and after a failure all workers
 * may connect to one node at once. Without a limit of its own the node would exhaust the operating system's, which fails
 * the connections to peers, to the state service and to the cloud just as well.
 */
export class ConnectionLimiter {
  /** Number of requests in progress on each connection, the least recently used connection first. */
  private readonly activeRequests = new Map<Socket, number>();

  constructor(
    server: Server,
    private readonly maxConnections: number,
  ) {
    server.on('connection', (socket: Socket) => {
      this.admit(socket);
    });
    server.on('request', (req: IncomingMessage, res: ServerResponse) => {
      this.recordUse(req.socket, 1);
      res.once('close', () => {
        this.recordUse(req.socket, -1);
      });
    });
  }

  private admit(socket: Socket): void {
    this.activeRequests.set(socket, 0);
    socket.once('close', () => {
      this.activeRequests.delete(socket);
    });
    if (this.activeRequests.size > this.maxConnections) this.closeIdlest();
  }

  private recordUse(socket: Socket, change: 1 | -1): void {
    const active = this.activeRequests.get(socket);
    if (active === undefined) return;
    // Removed and added again, so that the order of the map is that of the last use.
    this.activeRequests.delete(socket);
    this.activeRequests.set(socket, active + change);
  }

  /** The newest connection is idle, too: it is closed when all others have requests in progress. */
  private closeIdlest(): void {
    for (const [socket, active] of this.activeRequests) {
      if (active > 0) continue;
      this.activeRequests.delete(socket);
      socket.destroy();
      return;
    }
  }
}
