/** Reads a release note from a file. */
import { err, ok, type Result } from 'neverthrow'
import { loadSettings, releaseNote, type ReleaseNote } from '../shared'
import { usageError, type CliError } from './cliError'

/** Reads a release note and validates its schema; references to the configuration are validated when it is applied. */
export async function readNote (file: string): Promise<Result<ReleaseNote, CliError>> {
  const note = await loadSettings(file, releaseNote)
  return note.isErr() ? err(usageError(note.error.message)) : ok(note.value)
}
