import { command, positional, string } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import { BaseConflict, NoteError, type ApplyError } from '../../shared'
import { CliError } from '../cliError'
import { withConnections } from '../connections'
import { describeApplyError, describeDifferences, describeNote, describeNoteError } from '../describeDifferences'
import { configOption, jsonFlag } from '../options'
import { readNote } from '../readNote'
import { runCommand, type Output } from '../runCommand'

/** `apply NOTE.json`: applies a release note, or shows what others applied since its base. */
export const apply = command({
  name: 'apply',
  description: 'Apply a release note atomically. Exits with 1 when another note was applied since its base.',
  args: {
    file: positional({ type: string, displayName: 'NOTE.json' }),
    config: configOption,
    json: jsonFlag
  },
  handler: async ({ file, config, json }) => await runCommand(async () => await applyFile(file, config), json)
})

async function applyFile (file: string, config: string): Promise<Result<Output, CliError>> {
  const note = await readNote(file)
  if (note.isErr()) return err(note.error)
  return await withConnections(config, async ({ releaseLog }) => {
    const applied = await releaseLog.apply(note.value)
    if (applied.isErr()) return err(new CliError(describeError(applied.error)))
    const lines = [`Applied as configuration ${applied.value}:`, ...describeNote(note.value).map((line) => `  ${line}`)]
    return ok({ text: lines.join('\n'), data: { sequence: applied.value } })
  })
}

function describeError (error: ApplyError): string {
  if (error instanceof BaseConflict) return `Nothing was applied. ${describeDifferences(error.differences)}`
  if (error instanceof NoteError) return describeNoteError(error)
  return describeApplyError(error)
}
