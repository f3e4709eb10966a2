/** Runs the work of a command: prints what it returns, or its error with the documented exit code. */
import type { Result } from 'neverthrow'
import type { CliError } from './cliError'

export interface Output {
  /** Text for the operator. */
  text: string
  /** The same as data, for `--json`. */
  data: unknown
}

/**
 * Runs a command to its end.
 *
 * @param work - resolves with the output, or with the error
 * @param json - prints data instead of text
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
