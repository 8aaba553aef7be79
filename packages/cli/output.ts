/** Formats the output of commands: tables for people, JSON for programs. */

/** Receives the output of a command. A call passes one line, or a help text or JSON text of several lines. */
export type Print = (line: string) => void;

const COLUMN_GAP = '  ';
const JSON_INDENT = 2;

/** Returns one line for each row, with cells padded so that the columns align. The last column is not padded. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths = columnWidths(rows);
  return rows.map((row) => {
    const last = row.length - 1;
    const cells = row.map((cell, column) => (column === last ? cell : cell.padEnd(widths[column] ?? 0)));
    return cells.join(COLUMN_GAP).trimEnd();
  });
}

/** Prints a value as indented JSON, in one call of `print`. */
export function printJson(print: Print, value: unknown): void {
  print(JSON.stringify(value, null, JSON_INDENT));
}

function columnWidths(rows: readonly (readonly string[])[]): number[] {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return widths;
}
