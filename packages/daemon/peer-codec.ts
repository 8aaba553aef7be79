/**
 * Codec of the messages that nodes send each other: Avro records, each after four bytes with its length. Records and
 * fields have names of their own, so that no change of the types in the code changes what nodes of other versions read.
 */
import { Transform, type TransformCallback } from 'node:stream';
import avsc from 'avsc';
import type { PeerHighWaterMark, PeerStatus } from '#cluster';

/** A message of a node to a peer, and the peer's answer to it. */
export interface PeerMessage {
  /** The node that asked; an answer repeats it. */
  readonly sender: string;
  /** Raised with every message on a connection; an answer repeats it. */
  readonly sequence: number;
  /** The status of the sender of these bytes. */
  readonly status: PeerStatus;
}

/** Bytes that are not a message of a peer. */
export class MalformedPeerMessageError extends Error {
  constructor(reason: string, options?: ErrorOptions) {
    super(`malformed peer message: ${reason}`, options);
    this.name = 'MalformedPeerMessageError';
  }
}

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

interface PingRecord {
  readonly member: string;
  readonly number: number;
  readonly token: number;
  readonly served: boolean;
  readonly referred: Record<string, number>;
}

/**
 * What may follow a ping, once every node has announced `memory`: versions before that treat anything after a ping as
 * a malformed message.
 */
const PING_EXTENSION = avsc.Type.forSchema({
  type: 'record',
  name: 'PingExtension',
  fields: [
    { name: 'epoch', type: 'long' },
    { name: 'isContradicted', type: 'boolean' },
  ],
});

interface PingExtensionRecord {
  readonly epoch: number;
  readonly isContradicted: boolean;
}

/** The longest message in bytes, without its length. */
const MAX_MESSAGE_BYTES = 4096;
const LENGTH_BYTES = 4;

/** The bytes of a message, with its length before them. */
export function encodePeerMessage({ sender, sequence, status }: PeerMessage): Buffer {
  const ping: PingRecord = {
    member: sender,
    number: sequence,
    token: status.fencingToken,
    served: status.isStoreReachable,
    referred: status.redirectedWorkers,
  };
  const parts = [PING.toBuffer(ping)];
  if (status.highWaterMark !== null) parts.push(encodeHighWaterMark(status.highWaterMark));
  const body = Buffer.concat(parts);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

function encodeHighWaterMark({ revision, isInconsistent }: PeerHighWaterMark): Buffer {
  const extension: PingExtensionRecord = {
    epoch: revision,
    isContradicted: isInconsistent,
  };
  return PING_EXTENSION.toBuffer(extension);
}

/**
 * Reads a message from its bytes without the length. Throws {@link MalformedPeerMessageError}, or an error of the Avro
 * decoder where a field or what follows the ping can't be read.
 */
export function decodePeerMessage(bytes: Buffer): PeerMessage {
  const decoded = PING.decode(bytes, 0);
  const ping = decoded.value as PingRecord;
  const { offset } = decoded;
  if (offset < 0) throw new MalformedPeerMessageError(`cut off after ${bytes.length} bytes`);
  const status: PeerStatus = {
    fencingToken: ping.token,
    isStoreReachable: ping.served,
    redirectedWorkers: ping.referred,
    highWaterMark: offset === bytes.length ? null : decodeHighWaterMark(bytes.subarray(offset)),
  };
  return { sender: ping.member, sequence: ping.number, status };
}

function decodeHighWaterMark(bytes: Buffer): PeerHighWaterMark {
  const extension = PING_EXTENSION.fromBuffer(bytes) as PingExtensionRecord;
  return { revision: extension.epoch, isInconsistent: extension.isContradicted };
}

/** Splits a stream of bytes into messages without their lengths. Fails on a message that is too long. */
export class PeerMessageSplitter extends Transform {
  private rest = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, done: TransformCallback): void {
    this.rest = Buffer.concat([this.rest, chunk]);
    while (this.rest.length >= LENGTH_BYTES) {
      const length = this.rest.readUInt32BE(0);
      if (length > MAX_MESSAGE_BYTES) {
        done(new MalformedPeerMessageError(`${length} bytes, ${MAX_MESSAGE_BYTES} at most`));
        return;
      }
      const end = LENGTH_BYTES + length;
      if (this.rest.length < end) break;
      this.push(this.rest.subarray(LENGTH_BYTES, end));
      this.rest = this.rest.subarray(end);
    }
    done();
  }
}
