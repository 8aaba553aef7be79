import { createServer, type Server, Socket } from 'node:net';
import { Transform, type TransformCallback } from 'node:stream';
import avsc from 'avsc';
import type { PeerMemory, PeerWord, Ping, PingAnswer, PingResult } from '#cluster';
import { type Micros, splitAddress } from '#wire';

/** What nodes say to each other. It only hastens: nothing is decided by it. */
const PING = avsc.Type.forSchema({
  type: 'record',
  name: 'Ping',
  fields: [
    { name: 'member', type: 'string' },
    { name: 'number', type: 'long' },
    { name: 'token', type: 'long' },
    { name: 'served', type: 'boolean' },
    { name: 'referred', type: { type: 'map', values: 'int' } },
  ],
});

/**
 * What may follow a ping, once every node has announced `memory`: versions before that take anything after a ping for a
 * broken message.
 */
const PING_EXTENSION = avsc.Type.forSchema({
  type: 'record',
  name: 'PingExtension',
  fields: [
    { name: 'epoch', type: 'long' },
    { name: 'isContradicted', type: 'boolean' },
  ],
});

interface PingMessage extends PeerWord {
  member: string;
  number: number;
}

const MOST_FRAME = 4096;

/** Cuts a stream into frames, each after four bytes with its length. */
class Frames extends Transform {
  private rest = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.rest = Buffer.concat([this.rest, chunk]);
    while (this.rest.length >= 4) {
      const length = this.rest.readUInt32BE(0);
      if (length > MOST_FRAME) {
        done(new Error('frame too long'));
        return;
      }
      if (this.rest.length < 4 + length) break;
      this.push(this.rest.subarray(4, 4 + length));
      this.rest = this.rest.subarray(4 + length);
    }
    done();
  }
}

function encodePing(message: PingMessage): Buffer {
  const { memory } = message;
  const ping = PING.toBuffer(message);
  return memory === null ? ping : Buffer.concat([ping, PING_EXTENSION.toBuffer(memory)]);
}

function decodePing(bytes: Buffer): PingMessage {
  const { value, offset } = PING.decode(bytes, 0) as { value: Omit<PingMessage, 'memory'>; offset: number };
  if (offset < 0) throw new Error('not a ping');
  if (offset === bytes.length) return { ...value, memory: null };
  const memory = PING_EXTENSION.fromBuffer(bytes.subarray(offset)) as PeerMemory;
  return { ...value, memory };
}

function frame(message: PingMessage): Buffer {
  const body = encodePing(message);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Calls `take` with every message that comes; anything else ends the connection. */
function readMessages(socket: Socket, take: (message: PingMessage) => void): void {
  const frames = socket.pipe(new Frames());
  const fail = (): void => {
    socket.destroy();
  };
  frames.on('error', fail);
  frames.on('data', (bytes: Buffer) => {
    try {
      take(decodePing(bytes));
    } catch {
      fail();
    }
  });
}

/** Answers the pings of the other nodes, and tells them what this one knows. */
export function servePings(address: string, word: () => PeerWord): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    readMessages(socket, (message) => {
      socket.write(frame({ ...message, ...word() }));
    });
  });
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

/** One kept connection to a peer, made anew when it has failed. */
class Link {
  private socket: Socket | null = null;
  private number = 0;
  private waiting: { number: number; done: (result: PingResult, word?: PeerWord) => void } | null = null;

  constructor(
    private readonly endpoint: string,
    private readonly member: string,
    private readonly word: () => PeerWord,
  ) {}

  ping(timeout: Micros): Promise<PingAnswer> {
    return new Promise((resolve) => {
      const number = ++this.number;
      const finish = (result: PingResult, word?: PeerWord): void => {
        if (this.waiting?.number !== number) return;
        this.waiting = null;
        clearTimeout(timer);
        if (result !== 'ok') this.drop();
        resolve({ result, word: word ?? null });
      };
      const timer = setTimeout(() => {
        finish('silent');
      }, timeout / 1000);
      this.waiting = { number, done: finish };
      this.open().write(frame({ member: this.member, number, ...this.word() }));
    });
  }

  private open(): Socket {
    if (this.socket) return this.socket;
    const socket = new Socket();
    this.socket = socket;
    const lost = (): void => {
      if (this.socket !== socket) return;
      this.socket = null;
      this.waiting?.done('refused');
    };
    socket.on('error', lost);
    socket.on('close', lost);
    readMessages(socket, (message) => {
      if (message.number === this.waiting?.number) {
        const { token, served, referred, memory } = message;
        this.waiting.done('ok', { token, served, referred, memory });
      }
    });
    socket.connect(splitAddress(this.endpoint));
    return socket;
  }

  private drop(): void {
    const socket = this.socket;
    this.socket = null;
    socket?.destroy();
  }
}

export function pingOver(member: string, word: () => PeerWord): Ping {
  const links = new Map<string, Link>();
  return (endpoint, timeout) => {
    let link = links.get(endpoint);
    if (!link) links.set(endpoint, (link = new Link(endpoint, member, word)));
    return link.ping(timeout);
  };
}
