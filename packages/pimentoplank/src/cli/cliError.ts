/** The error that ends a command, with its exit code. */
import { EXIT_FAILED, EXIT_USAGE } from '../shared'

/** A command that did not do its work. */
export class CliError extends Error {
  readonly exitCode: number

  constructor (message: string, exitCode: number = EXIT_FAILED) {
    super(message)
    this.name = 'CliError'
    this.exitCode = exitCode
  }
}

/** An error in what the operator wrote: arguments, settings or a file. */
export function usageError (message: string): CliError {
  return new CliError(message, EXIT_USAGE)
}
