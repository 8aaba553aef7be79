import { Packr } from 'msgpackr/pack';

/**
 * MessagePack as every interface of the service speaks it. Integers up to 2^64 survive: those that a
 * number can't hold exactly come back as bigint, hence {@link Count}.
 */
const packr = new Packr({
  useRecords: false,
  mapsAsObjects: true,
  int64AsType: 'auto',
  encodeUndefinedAsNil: true,
  variableMapSize: true,
});

/** A count, version, token or attempt: an integer from 0 to 2^64 - 1. */
export type Count = number | bigint;

export type Fields = Record<string, unknown>;

export function encode(value: unknown): Buffer {
  return packr.pack(value);
}

export function decode(bytes: Buffer): unknown {
  return packr.unpack(bytes) as unknown;
}

/** A plain map. The decoder makes objects of its own of bytes that are no valid value (0xc1) and of extensions. */
export function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}

export function isCount(value: unknown): value is Count {
  if (typeof value === 'number') return Number.isSafeInteger(value) && value >= 0;
  return typeof value === 'bigint' && value >= 0n && value < 1n << 64n;
}

/** Counts compare by value, whichever of the two types carries them. */
export function sameCount(a: Count, b: Count): boolean {
  return typeof a === typeof b ? a === b : BigInt(a) === BigInt(b);
}

/** Size of a value in the form in which limits are counted: JSON. */
export function jsonBytes(value: unknown): number {
  return Buffer.byteLength(
    JSON.stringify(value, (_k, v: unknown) => (typeof v === 'bigint' ? Number(v) : v)),
  );
}
