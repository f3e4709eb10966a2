/** Reads log lines of instances, from files or standard input. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import * as z from 'zod'

const logLine = z.looseObject({
  /** ISO 8601. */
  time: z.string(),
  msg: z.string(),
  level: z.number().default(0),
  instance: z.string().default(''),
  req: z.string().optional(),
  job: z.string().optional(),
  item: z.string().optional(),
  target: z.string().optional()
})
export type LogLine = z.infer<typeof logLine>

/** Parses a line, skipping any prefix of its JSON such as a host name; returns undefined if it is no log line. */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const parsed = logLine.safeParse(JSON.parse(text.slice(start)))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/**
 * Yields the log lines of files, in the order of the files.
 *
 * @param files - paths; standard input when there are none
 */
export async function * readLogLines (files: readonly string[]): AsyncGenerator<LogLine> {
  const inputs = files.length === 0 ? [process.stdin] : files.map((file) => createReadStream(file))
  for (const input of inputs) {
    for await (const text of createInterface({ input })) {
      const line = parseLogLine(text)
      if (line !== undefined) yield line
    }
  }
}
