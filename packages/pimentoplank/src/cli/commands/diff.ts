import { command, positional, string } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import { applyNote, type ReleaseLogState, type ReleaseNote } from '../../shared'
import { CliError } from '../cliError'
import { withConnections, type Connections } from '../connections'
import { describeDifferences, describeNote, describeNoteError } from '../describeDifferences'
import { configOption, jsonFlag } from '../options'
import { readNote } from '../readNote'
import { runCommand, type Output } from '../runCommand'

/** `diff NOTE.json`: shows what applying a note would change, without applying it. */
export const diff = command({
  name: 'diff',
  description: 'Show what a release note would change, or what others applied since its base.',
  args: {
    file: positional({ type: string, displayName: 'NOTE.json' }),
    config: configOption,
    json: jsonFlag
  },
  handler: async ({ file, config, json }) => await runCommand(async () => await diffFile(file, config), json)
})

async function diffFile (file: string, config: string): Promise<Result<Output, CliError>> {
  const note = await readNote(file)
  if (note.isErr()) return err(note.error)
  return await withConnections(config, async (connections) => {
    const state = await connections.releaseLog.read()
    if (state.isErr()) return err(new CliError(state.error.message))
    return compare(connections, state.value, note.value)
  })
}

function compare ({ releaseLog }: Connections, state: ReleaseLogState, note: ReleaseNote): Result<Output, CliError> {
  if (note.base !== state.current.sequence) {
    const differences = releaseLog.findDifferences(state, note)
    return ok({ text: describeDifferences(differences), data: differences })
  }
  const applied = applyNote(state.current, note)
  if (applied.isErr()) return err(new CliError(describeNoteError(applied.error)))
  const lines = describeNote(note)
  return ok({
    text: [`Would make configuration ${applied.value.sequence}:`, ...lines.map((line) => `  ${line}`)].join('\n'),
    data: { sequence: applied.value.sequence, changes: lines }
  })
}
