/** What the command line prints: tables for people, JSON for programs. */

/** Where a command writes its result. */
export type Print = (line: string) => void;

/** Rows as lines whose columns stand below each other; the first row is the heading. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, i) => (widths[i] = Math.max(widths[i] ?? 0, cell.length)));
  }
  return rows.map((row) =>
    row
      .map((cell, i) => (i === row.length - 1 ? cell : cell.padEnd(widths[i] ?? 0)))
      .join('  ')
      .trimEnd(),
  );
}

export function printJson(print: Print, value: unknown): void {
  print(JSON.stringify(value, null, 2));
}
