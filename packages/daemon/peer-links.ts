/**
 * Connections between nodes. Each node pings its peers and replies to their pings. Each ping and each reply carries the
 * sender's status, which only lets nodes react sooner: no decision depends on it for safety.
 */
import { createServer, type Server, Socket } from 'node:net';
import type { PeerStatus, Ping, PingReply, PingResult } from '#cluster';
import { type Micros, MS, parseEndpoint } from '#wire';
import { decodePeerMessage, encodePeerMessage, type PeerMessage, PeerMessageSplitter } from './peer-codec.js';

/** Passes every message that arrives to `onMessage`. Closes the connection on bytes that are not a message. */
function readMessages(socket: Socket, onMessage: (message: PeerMessage) => void): void {
  const splitter = socket.pipe(new PeerMessageSplitter());
  const closeConnection = (): void => {
    socket.destroy();
  };
  splitter.on('error', closeConnection);
  splitter.on('data', (bytes: Buffer) => {
    try {
      onMessage(decodePeerMessage(bytes));
    } catch {
      closeConnection();
    }
  });
}

/**
 * Replies to the pings of other nodes with this node's status. Resolves once the server listens on the address
 * (`host:port`); rejects if it can't.
 */
export function servePeers(address: string, status: () => PeerStatus): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    readMessages(socket, ({ sender, sequence }) => {
      socket.write(encodePeerMessage({ sender, sequence, status: status() }));
    });
  });
  const { host, port } = parseEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

/** A ping that was sent and has no reply yet. */
interface PendingPing {
  readonly sequence: number;
  /** Resolves the ping with this reply, unless a newer ping has replaced it. */
  readonly finish: (reply: PingReply) => void;
}

/** A persistent connection to a peer, reopened after a failure. A new ping replaces one that has no reply yet. */
class PeerLink {
  private socket: Socket | null = null;
  private lastSequence = 0;
  private pending: PendingPing | null = null;

  constructor(
    private readonly endpoint: string,
    private readonly member: string,
    private readonly status: () => PeerStatus,
  ) {}

  /**
   * Sends a ping. Resolves with the reply, or with a failure once the connection is lost or the timeout has passed. The
   * promise of a ping that a newer ping has replaced never resolves.
   */
  ping(timeout: Micros): Promise<PingReply> {
    return new Promise((resolve) => {
      const sequence = ++this.lastSequence;
      const finish = (reply: PingReply): void => {
        if (this.pending?.sequence !== sequence) return;
        this.pending = null;
        clearTimeout(timer);
        if (reply.result !== 'ok') this.disconnect();
        resolve(reply);
      };
      const timer = setTimeout(() => {
        finish(failedReply('silent'));
      }, timeout / MS);
      this.pending = { sequence, finish };
      this.openSocket().write(encodePeerMessage({ sender: this.member, sequence, status: this.status() }));
    });
  }

  /** Returns the open socket; connects if there is none. */
  private openSocket(): Socket {
    return (this.socket ??= this.connect());
  }

  private connect(): Socket {
    const socket = new Socket();
    const onLost = (): void => {
      if (this.socket !== socket) return;
      this.socket = null;
      this.pending?.finish(failedReply('refused'));
    };
    socket.on('error', onLost);
    socket.on('close', onLost);
    readMessages(socket, ({ sequence, status }) => {
      if (sequence === this.pending?.sequence) this.pending.finish({ result: 'ok', status });
    });
    socket.connect(parseEndpoint(this.endpoint));
    return socket;
  }

  /** Closes the connection; the next ping opens another. */
  private disconnect(): void {
    const socket = this.socket;
    this.socket = null;
    socket?.destroy();
  }
}

function failedReply(result: Exclude<PingResult, 'ok'>): PingReply {
  return { result, status: null };
}

/** Creates a function that pings peers in the name of this member, over one persistent connection per endpoint. */
export function createPinger(member: string, status: () => PeerStatus): Ping {
  const links = new Map<string, PeerLink>();
  return (endpoint, timeout) => {
    let link = links.get(endpoint);
    if (!link) links.set(endpoint, (link = new PeerLink(endpoint, member, status)));
    return link.ping(timeout);
  };
}
