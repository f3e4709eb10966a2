/** Errors that end a command, with their exit codes. */
import { EXIT_FAILED, EXIT_USAGE } from '../shared'

/** Failure of a command. */
export class CliError extends Error {
  readonly exitCode: number

  constructor (message: string, exitCode: number = EXIT_FAILED) {
    super(message)
    this.name = 'CliError'
    this.exitCode = exitCode
  }
}

/** Creates an error for invalid input of the operator: arguments, settings or a file. */
export function usageError (message: string): CliError {
  return new CliError(message, EXIT_USAGE)
}
