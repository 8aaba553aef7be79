/**
 * Connections between nodes. Each node pings its peers and answers their pings; each ping and
 * each answer carries the sender's status. This only lets nodes react sooner: no decision depends on it.
 */
import { createServer, type Server, Socket } from 'node:net';
import type { PeerStatus, Ping, PingReply, PingResult } from '#cluster';
import { type Micros, MS, parseEndpoint } from '#wire';
import { decodePeerMessage, encodePeerMessage, type PeerMessage, PeerMessageSplitter } from './peer-codec.js';

/** Passes every message that arrives to `onMessage`; bytes that are not a message close the connection. */
function readMessages(socket: Socket, onMessage: (message: PeerMessage) => void): void {
  const messages = socket.pipe(new PeerMessageSplitter());
  const fail = (): void => {
    socket.destroy();
  };
  messages.on('error', fail);
  messages.on('data', (bytes: Buffer) => {
    try {
      onMessage(decodePeerMessage(bytes));
    } catch {
      fail();
    }
  });
}

/**
 * Answers the pings of other nodes with this node's status. Resolves once it listens on the address (`host:port`);
 * rejects if it can't.
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

/** A ping that was sent and not answered. */
interface PendingPing {
  readonly sequence: number;
  readonly finish: (answer: PingReply) => void;
}

/** A persistent connection to a peer, reopened after a failure. A new ping replaces one that has no answer yet. */
class PeerLink {
  private socket: Socket | null = null;
  private lastSequence = 0;
  private pending: PendingPing | null = null;

  constructor(
    private readonly endpoint: string,
    private readonly member: string,
    private readonly status: () => PeerStatus,
  ) {}

  ping(timeout: Micros): Promise<PingReply> {
    return new Promise((resolve) => {
      const sequence = ++this.lastSequence;
      const finish = (answer: PingReply): void => {
        if (this.pending?.sequence !== sequence) return;
        this.pending = null;
        clearTimeout(timer);
        if (answer.result !== 'ok') this.drop();
        resolve(answer);
      };
      const timer = setTimeout(() => {
        finish(failed('silent'));
      }, timeout / MS);
      this.pending = { sequence, finish };
      this.connection().write(encodePeerMessage({ sender: this.member, sequence, status: this.status() }));
    });
  }

  private connection(): Socket {
    return (this.socket ??= this.connect());
  }

  private connect(): Socket {
    const socket = new Socket();
    const onLost = (): void => {
      if (this.socket !== socket) return;
      this.socket = null;
      this.pending?.finish(failed('refused'));
    };
    socket.on('error', onLost);
    socket.on('close', onLost);
    readMessages(socket, ({ sequence, status }) => {
      if (sequence === this.pending?.sequence) this.pending.finish({ result: 'ok', status });
    });
    socket.connect(parseEndpoint(this.endpoint));
    return socket;
  }

  private drop(): void {
    const socket = this.socket;
    this.socket = null;
    socket?.destroy();
  }
}

function failed(result: Exclude<PingResult, 'ok'>): PingReply {
  return { result, status: null };
}

/** Creates a function that pings peers as this member, over one persistent connection for each endpoint. */
export function createPinger(member: string, status: () => PeerStatus): Ping {
  const links = new Map<string, PeerLink>();
  return (endpoint, timeout) => {
    let link = links.get(endpoint);
    if (!link) links.set(endpoint, (link = new PeerLink(endpoint, member, status)));
    return link.ping(timeout);
  };
}
