/** Codecs of enumerated values, which map each value in the code to the word that is stored for it. */

/** Converts between enumerated values in the code and their stored words. */
export interface EnumCodec<T extends string> {
  /** Returns the stored word of a value. */
  encode(value: T): string;
  /** Returns the value of a stored word. An unknown word, as a newer version may write it, is returned unchanged. */
  decode(storedValue: string): T;
}

/** Creates a codec from a table that gives the stored word of each value. */
export function enumCodec<T extends string>(storedValues: Readonly<Record<T, string>>): EnumCodec<T> {
  const valuesByStoredValue = new Map(
    (Object.keys(storedValues) as T[]).map((value) => [storedValues[value], value]),
  );
  return {
    encode: (value) => storedValues[value],
    decode: (storedValue) => valuesByStoredValue.get(storedValue) ?? (storedValue as T),
  };
}
