/** What commands print, and how they end. */
import { EXIT_FAILED } from '../shared'

/** Prints lines for people. */
export function print (...lines: string[]): void {
  process.stdout.write(lines.map((line) => `${line}\n`).join(''))
}

/** Prints a value for programs. */
export function printJson (value: unknown): void {
  print(JSON.stringify(value, null, 2))
}

/** Ends the command with an error text and an exit code. */
export function fail (text: string, exitCode: number = EXIT_FAILED): void {
  process.stderr.write(`${text}\n`)
  process.exitCode = exitCode
}

/** Lays rows out in columns under a heading. */
export function formatTable (heading: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
  const all = [heading, ...rows]
  const widths = heading.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)))
  return all.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
}
