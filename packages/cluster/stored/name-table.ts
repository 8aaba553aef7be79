/** The table of names in a checkpoint. Later rows refer to a name by its number, which keeps the checkpoint small. */
import type { CheckpointRow } from './checkpoint-row.js';

/** Limits of the names in one row, so that the row fits into any value. */
const MAX_NAMES_PER_ROW = 20;
const MAX_NAME_CHARS_PER_ROW = 300;

/** Numbers names consecutively from 0, in the order of their first use. */
export class NameTable {
  private readonly numbers = new Map<string, number>();

  /** Returns the number of a name. A new name is added under the next free number. */
  numberOf(name: string): number {
    let number = this.numbers.get(name);
    if (number === undefined) this.numbers.set(name, (number = this.numbers.size));
    return number;
  }

  /** Returns the checkpoint rows that hold the names, in the order of their numbers. */
  rows(): CheckpointRow[] {
    const rows: CheckpointRow[] = [];
    let rowNames: string[] = [];
    let rowChars = 0;
    for (const name of this.numbers.keys()) {
      if (
        rowNames.length === MAX_NAMES_PER_ROW ||
        (rowNames.length > 0 && rowChars + name.length > MAX_NAME_CHARS_PER_ROW)
      ) {
        rows.push(['n', ...rowNames]);
        rowNames = [];
        rowChars = 0;
      }
      rowNames.push(name);
      rowChars += name.length;
    }
    if (rowNames.length > 0) rows.push(['n', ...rowNames]);
    return rows;
  }
}
