/** The MessagePack codec of all network protocols of the service, and type checks of decoded values. */
import { Packr } from 'msgpackr/pack';

/** The part of `Packr` that is used here. The package's types of this entry point don't resolve under `nodenext`. */
interface MessagePackCodec {
  pack(value: unknown): Buffer;
  unpack(bytes: Buffer): unknown;
}

type MessagePackOptions = Readonly<Record<string, boolean | string>>;

const MessagePack = Packr as unknown as new (options: MessagePackOptions) => MessagePackCodec;

/** Decodes integers below 2^64 exactly: as `bigint` where a `number` is not exact, see {@link Count}. */
const packr = new MessagePack({
  useRecords: false,
  mapsAsObjects: true,
  int64AsType: 'auto',
  encodeUndefinedAsNil: true,
  variableMapSize: true,
});

/** An integer from 0 to 2^64 - 1: a sequence number, worker incarnation, fencing token, attempt or lease id. */
export type Count = number | bigint;

/** A decoded map with string keys whose values have not been validated. */
export type WireFields = Record<string, unknown>;

/** Encodes a value as MessagePack. Encodes `undefined` as null. */
export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes a MessagePack value. Throws if the bytes end early or continue after the value. */
export function decode(bytes: Buffer): unknown {
  return packr.unpack(bytes);
}

/**
 * True if a decoded value is a plain map. The decoder returns instances of its own classes for invalid bytes (0xc1) and
 * for extensions.
 */
export function isWireFields(value: unknown): value is WireFields {
  return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}

/** True if a decoded value is an integer from 0 to 2^64 - 1. */
export function isCount(value: unknown): value is Count {
  if (typeof value === 'number') return Number.isSafeInteger(value) && value >= 0;
  return typeof value === 'bigint' && value >= 0n && value < 1n << 64n;
}

/** True if two counts are the same integer, even if one is a `number` and the other a `bigint`. */
export function countsEqual(a: Count, b: Count): boolean {
  return typeof a === typeof b ? a === b : BigInt(a) === BigInt(b);
}

/** Returns the size of a value as JSON in bytes. The size limits of the protocol apply to this form. */
export function jsonBytes(value: unknown): number {
  const text = JSON.stringify(value, (_key, item: unknown) =>
    typeof item === 'bigint' ? Number(item) : item,
  );
  return Buffer.byteLength(text);
}
