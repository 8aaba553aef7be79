/** Names in a checkpoint, which the rows after them refer to by number. */
import type { CheckpointRow } from './checkpoint-row.js';

/** Names in one row, and how long they may be together. */
const ROW_NAMES = 20;
const ROW_NAME_LENGTH = 300;

/** Names in the order in which they were first met: each stands for its number in the rows after the names. */
export class NameTable {
  private readonly numbers = new Map<string, number>();

  /** The name's number; the next one if the name is new. */
  numberOf(name: string): number {
    let number = this.numbers.get(name);
    if (number === undefined) this.numbers.set(name, (number = this.numbers.size));
    return number;
  }

  /** The rows that hold the names, in the order of their numbers. */
  rows(): CheckpointRow[] {
    const rows: CheckpointRow[] = [];
    let names: string[] = [];
    let length = 0;
    for (const name of this.numbers.keys()) {
      if (names.length === ROW_NAMES || (names.length > 0 && length + name.length > ROW_NAME_LENGTH)) {
        rows.push(['n', ...names]);
        names = [];
        length = 0;
      }
      names.push(name);
      length += name.length;
    }
    if (names.length > 0) rows.push(['n', ...names]);
    return rows;
  }
}
