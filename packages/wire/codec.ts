/** MessagePack, as every interface of the service speaks it, and checks of what was decoded. */
import { Packr } from 'msgpackr/pack';

/** The part of `Packr` that is used here. The package's declarations of this entry point don't resolve under `nodenext`. */
interface MessagePackCodec {
  pack(value: unknown): Buffer;
  unpack(bytes: Buffer): unknown;
}

type MessagePackOptions = Readonly<Record<string, boolean | string>>;

const MessagePack = Packr as unknown as new (options: MessagePackOptions) => MessagePackCodec;

/** Integers up to 2^64 survive: those that a number can't hold exactly come back as bigint, hence {@link Count}. */
const packr = new MessagePack({
  useRecords: false,
  mapsAsObjects: true,
  int64AsType: 'auto',
  encodeUndefinedAsNil: true,
  variableMapSize: true,
});

/** A sequence number, incarnation, fencing token or attempt: an integer from 0 to 2^64 - 1. */
export type Count = number | bigint;

/** A map with text keys whose values have not been checked. */
export type WireFields = Record<string, unknown>;

/** The MessagePack bytes of a value; undefined becomes null. */
export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

/** The value of these MessagePack bytes. Throws if they end early or go on behind it. */
export function decode(bytes: Buffer): unknown {
  return packr.unpack(bytes);
}

/**
 * Whether a decoded value is a plain map. The decoder makes objects of classes of its own from bytes that are no valid
 * value (0xc1) and from extensions.
 */
export function isWireFields(value: unknown): value is WireFields {
  return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}

/** Whether a decoded value is an integer from 0 to 2^64 - 1. */
export function isCount(value: unknown): value is Count {
  if (typeof value === 'number') return Number.isSafeInteger(value) && value >= 0;
  return typeof value === 'bigint' && value >= 0n && value < 1n << 64n;
}

/** Whether two counts are the same integer, whichever of the two types carries them. */
export function countsEqual(a: Count, b: Count): boolean {
  return typeof a === typeof b ? a === b : BigInt(a) === BigInt(b);
}

/** Size of a value as JSON in bytes, the form in which the protocol counts its limits. */
export function jsonBytes(value: unknown): number {
  const text = JSON.stringify(value, (_key, item: unknown) =>
    typeof item === 'bigint' ? Number(item) : item,
  );
  return Buffer.byteLength(text);
}
