/** Command of a daemon: reads the settings, runs the daemon, and exits with the documented exit code. */
import { command, option, string } from 'cmd-ts'
import type { Result } from 'neverthrow'
import type * as z from 'zod'
import { EXIT_FAILED, EXIT_USAGE, runProgram, VERSION } from '../process'
import { loadSettings } from '../settings'

export interface DaemonOptions<Schema extends z.ZodType> {
  /** Name of the program. */
  name: string
  description: string
  schema: Schema
  /** Serves until a shutdown is requested; resolves with an error when it could not start. */
  run: (settings: z.output<Schema>) => Promise<Result<void, Error>>
}

/** Runs a daemon with the arguments of the process. */
export async function runDaemon<Schema extends z.ZodType> (options: DaemonOptions<Schema>): Promise<void> {
  const { name, description, schema, run } = options
  await runProgram(command({
    name,
    description,
    version: VERSION,
    args: { config: option({ type: string, long: 'config', description: 'Settings file (JSON).' }) },
    handler: async ({ config }) => {
      const settings = await loadSettings(config, schema)
      if (settings.isErr()) {
        process.stderr.write(`${settings.error.message}\n`)
        process.exitCode = EXIT_USAGE
        return
      }
      const result = await run(settings.value)
      if (result.isOk()) return
      process.stderr.write(`${name}: ${result.error.message}\n`)
      process.exit(EXIT_FAILED)
    }
  }))
}
