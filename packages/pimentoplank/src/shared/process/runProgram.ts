/** Process lifecycle of a program: arguments, signals and exit codes. */
import { binary, runSafely, type Runner } from 'cmd-ts'

export const EXIT_OK = 0
export const EXIT_FAILED = 1
/** Invalid arguments or settings. */
export const EXIT_USAGE = 2

/** Runs a cmd-ts command with the arguments of the process; invalid arguments set the exit code `EXIT_USAGE`. */
export async function runProgram (command: Parameters<typeof binary>[0] & Runner<any, any>): Promise<void> {
  const result = await runSafely(binary(command), process.argv)
  if (result._tag === 'ok') return
  const { message, into, exitCode } = result.error.config
  process[into].write(`${message}\n`)
  process.exitCode = exitCode === EXIT_OK ? EXIT_OK : EXIT_USAGE
}

/** Creates a signal that aborts on the first SIGTERM or SIGINT; the second one exits the process immediately. */
export function createStopSignal (): AbortSignal {
  const controller = new AbortController()
  function onSignal (): void {
    if (controller.signal.aborted) process.exit(EXIT_FAILED)
    controller.abort()
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
  return controller.signal
}
