/** Enumerated values as they are stored. */

/** Translates enumerated values between their names in the code and the words that are stored for them. */
export interface StoredWords<T extends string> {
  encode(name: T): string;
  /** A word that this version does not know, written by a newer one, is passed on unchanged. */
  decode(word: string): T;
}

/** A translator by this table, whose keys are the names in the code. */
export function storedWords<T extends string>(table: Readonly<Record<T, string>>): StoredWords<T> {
  const names = new Map((Object.keys(table) as T[]).map((name) => [table[name], name]));
  return {
    encode: (name) => table[name],
    decode: (word) => names.get(word) ?? (word as T),
  };
}
