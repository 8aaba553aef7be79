/** Limits the number of open connections of an HTTP server. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Limits the open connections of a server: beyond the limit, the idle connection that was used least recently is
 * closed. A machine that has failed or is behind a network partition never closes its connections, and after a node
 * failure all workers may connect to one node at the same time. Without this limit the node would reach the limit of
 * the operating system, and connections to peers, to the state service and to the cloud would fail, too.
 */
export class ConnectionLimiter {
  /** Number of requests in progress, keyed by connection; the least recently used connection is first. */
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
    if (this.activeRequests.size > this.maxConnections) this.closeLeastRecentlyUsedIdle();
  }

  private recordUse(socket: Socket, change: 1 | -1): void {
    const active = this.activeRequests.get(socket);
    if (active === undefined) return;
    // Removed and added again, which moves the connection to the end of the map's insertion order.
    this.activeRequests.delete(socket);
    this.activeRequests.set(socket, active + change);
  }

  /**
   * Closes the idle connection that was used least recently. If all other connections have requests in progress, this
   * is the newest connection.
   */
  private closeLeastRecentlyUsedIdle(): void {
    for (const [socket, active] of this.activeRequests) {
      if (active > 0) continue;
      this.activeRequests.delete(socket);
      socket.destroy();
      return;
    }
  }
}
