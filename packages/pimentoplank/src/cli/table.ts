/** Renders plain text tables. */

const COLUMN_GAP = '  '

/** Renders rows under a header, each column as wide as its longest cell. */
export function renderTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const lines = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => (line[column] ?? '').length)))
  return lines
    .map((line) => line.map((cell, column) => cell.padEnd(widths[column]!)).join(COLUMN_GAP).trimEnd())
    .join('\n')
}
