/** What the command line prints: tables for people, JSON for programs. */

/** Where a command writes its result, line by line. */
export type Print = (line: string) => void;

const COLUMN_GAP = '  ';
const JSON_INDENT = 2;

/** Rows as lines whose columns stand below each other; the first row is the heading. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths = columnWidths(rows);
  return rows.map((row) => {
    const last = row.length - 1;
    const cells = row.map((cell, column) => (column === last ? cell : cell.padEnd(widths[column] ?? 0)));
    return cells.join(COLUMN_GAP).trimEnd();
  });
}

/** Prints a value as indented JSON, in one call. */
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
