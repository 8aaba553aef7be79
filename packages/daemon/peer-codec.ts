/**
 * Codec of the messages between nodes: Avro records, each preceded by its length in four bytes. The names of records
 * and fields are separate from those of the types in the code, so that renaming a type does not change what nodes of
 * other versions read.
 */
import { Transform, type TransformCallback } from 'node:stream';
import avsc from 'avsc';
import type { PeerHighWaterMark, PeerStatus } from '#cluster';

/** A ping or the reply to it. */
export interface PeerMessage {
  /** The member that sent the ping; a reply repeats it. */
  readonly sender: string;
  /** Sequence number of the ping on its connection; a reply repeats it. */
  readonly sequence: number;
  /** The status of the node that sent this message, which for a reply is the node that was pinged. */
  readonly status: PeerStatus;
}

/** Thrown if bytes received from a peer are not a valid message. */
export class MalformedPeerMessageError extends Error {
  constructor(reason: string, options?: ErrorOptions) {
    super(`malformed peer message: ${reason}`, options);
    this.name = 'MalformedPeerMessageError';
  }
}

const PING_TYPE = avsc.Type.forSchema({
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

/** The fields of the Avro record `Ping`. */
interface PingRecord {
  readonly member: string;
  readonly number: number;
  readonly token: number;
  readonly served: boolean;
  readonly referred: Record<string, number>;
}

/**
 * Optional extension after the ping record. It is sent only once every node has announced the capability `memory`,
 * because older versions treat bytes after a ping as a malformed message.
 */
const PING_EXTENSION_TYPE = avsc.Type.forSchema({
  type: 'record',
  name: 'PingExtension',
  fields: [
    { name: 'epoch', type: 'long' },
    { name: 'isContradicted', type: 'boolean' },
  ],
});

/** The fields of the Avro record `PingExtension`. */
interface PingExtensionRecord {
  readonly epoch: number;
  readonly isContradicted: boolean;
}

/** Maximum size of a message in bytes, without the length prefix. */
const MAX_MESSAGE_BYTES = 4096;
/** Size of the length prefix in bytes. */
const LENGTH_BYTES = 4;

/** Encodes a message with its length prefix. */
export function encodePeerMessage({ sender, sequence, status }: PeerMessage): Buffer {
  const ping: PingRecord = {
    member: sender,
    number: sequence,
    token: status.fencingToken,
    served: status.isStoreReachable,
    referred: status.redirectedWorkers,
  };
  const parts = [PING_TYPE.toBuffer(ping)];
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
  return PING_EXTENSION_TYPE.toBuffer(extension);
}

/**
 * Decodes a message without its length prefix. Throws {@link MalformedPeerMessageError} if the message is truncated,
 * and an error of the Avro decoder if a field or the extension is invalid.
 */
export function decodePeerMessage(bytes: Buffer): PeerMessage {
  const decoded = PING_TYPE.decode(bytes, 0);
  const ping = decoded.value as PingRecord;
  const { offset } = decoded;
  if (offset < 0) throw new MalformedPeerMessageError(`truncated after ${bytes.length} bytes`);
  const status: PeerStatus = {
    fencingToken: ping.token,
    isStoreReachable: ping.served,
    redirectedWorkers: ping.referred,
    highWaterMark: offset === bytes.length ? null : decodeHighWaterMark(bytes.subarray(offset)),
  };
  return { sender: ping.member, sequence: ping.number, status };
}

function decodeHighWaterMark(bytes: Buffer): PeerHighWaterMark {
  const extension = PING_EXTENSION_TYPE.fromBuffer(bytes) as PingExtensionRecord;
  return { revision: extension.epoch, isInconsistent: extension.isContradicted };
}

/**
 * Splits a stream of bytes into messages and strips their length prefixes. Fails with a
 * {@link MalformedPeerMessageError} on a message that is too long.
 */
export class PeerMessageSplitter extends Transform {
  /** Received bytes that do not yet form a complete message. */
  private buffered = Buffer.alloc(0);

  constructor() {
    super({ readableObjectMode: true });
  }

  override _transform(chunk: Buffer, _encoding: string, callback: TransformCallback): void {
    this.buffered = Buffer.concat([this.buffered, chunk]);
    while (this.buffered.length >= LENGTH_BYTES) {
      const length = this.buffered.readUInt32BE(0);
      if (length > MAX_MESSAGE_BYTES) {
        callback(
          new MalformedPeerMessageError(
            `length of ${length} bytes exceeds the maximum of ${MAX_MESSAGE_BYTES} bytes`,
          ),
        );
        return;
      }
      const end = LENGTH_BYTES + length;
      if (this.buffered.length < end) break;
      this.push(this.buffered.subarray(LENGTH_BYTES, end));
      this.buffered = this.buffered.subarray(end);
    }
    callback();
  }
}
