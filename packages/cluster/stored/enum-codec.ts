/** Codecs of enumerated values, which map each value in the code to the string that is stored for it. */

/** Converts between enumerated values in the code and their stored strings. */
export interface EnumCodec<T extends string> {
  /** Returns the stored string of a value. */
  encode(value: T): string;
  /** Returns the value of a stored string. An unknown string, which a newer version may write, is returned as it is. */
  decode(storedValue: string): T;
}

/** Creates a codec from a table that gives the stored string of each value. */
export function enumCodec<T extends string>(storedValues: Readonly<Record<T, string>>): EnumCodec<T> {
  const valuesByStoredValue = new Map(
    (Object.keys(storedValues) as T[]).map((value) => [storedValues[value], value]),
  );
  return {
    encode: (value) => storedValues[value],
    decode: (storedValue) => valuesByStoredValue.get(storedValue) ?? (storedValue as T),
  };
}
