import { command, positional, restPositionals, string } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import { CliError } from '../cliError'
import { buildTimeline, readLogLines, type LogLine, type TimelineEntry } from '../explain'
import { jsonFlag } from '../options'
import { runCommand, type Output } from '../runCommand'
import { renderTable } from '../table'

/** `explain ID FILE…`: shows the timeline of a request, a job or an item from log lines. */
export const explain = command({
  name: 'explain',
  description: 'Show what happened to a request, a job or an item, from the logs of all instances.',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'Id of a request, a job or an item.' }),
    files: restPositionals({ type: string, displayName: 'FILE', description: 'Log files; standard input when there are none.' }),
    json: jsonFlag
  },
  handler: async ({ id, files, json }) => await runCommand(async () => await explainId(id, files), json)
})

async function explainId (id: string, files: string[]): Promise<Result<Output, CliError>> {
  const lines: LogLine[] = []
  try {
    for await (const line of readLogLines(files)) lines.push(line)
  } catch (cause) {
    return err(new CliError(`cannot read logs: ${(cause as Error).message}`))
  }
  const timeline = buildTimeline(lines, id)
  if (timeline.length === 0) return err(new CliError(`none of ${lines.length} log lines is about ${id}`))
  const rows = timeline.map(({ time, instance, event, details, isDirect }) => [
    time, instance, isDirect ? event : `(${event})`, formatDetails(details)
  ])
  return ok({ text: renderTable(['time', 'instance', 'event', 'details'], rows), data: timeline })
}

function formatDetails (details: TimelineEntry['details']): string {
  return Object.entries(details)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ')
}
