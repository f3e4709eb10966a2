/** Runs a command and prints its output, or its error with the documented exit code. */
import type { Result } from 'neverthrow'
import type { CliError } from './cliError'

export interface Output {
  /** Output as text. */
  text: string
  /** Output as data, for `--json`. */
  data: unknown
}

/**
 * Runs a command, writes its output or error, and sets the exit code of the process.
 *
 * @param work - resolves with the output or the error
 * @param json - prints the data instead of the text
 */
export async function runCommand (work: () => Promise<Result<Output, CliError>>, json = false): Promise<void> {
  const outcome = await work()
  if (outcome.isErr()) {
    process.stderr.write(`${outcome.error.message}\n`)
    process.exitCode = outcome.error.exitCode
    return
  }
  process.stdout.write(`${json ? JSON.stringify(outcome.value.data, null, 2) : outcome.value.text}\n`)
}
