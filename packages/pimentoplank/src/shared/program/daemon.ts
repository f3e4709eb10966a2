/** The command of a daemon: reads its settings, runs it, and ends with the documented exit code. */
import { command, option, string } from 'cmd-ts'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { EXIT_FAILED, EXIT_USAGE, runProgram, VERSION } from '../process'
import { loadSettings } from '../settings'

export interface DaemonOptions<Schema extends z.ZodType> {
  /** Name of the program. */
  name: string
  description: string
  schema: Schema
  /** Serves until the process is told to stop; an error says why it could not start. */
  run: (settings: z.output<Schema>) => Promise<Result<void, Error>>
}

/** Runs a daemon on the arguments of the process. */
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
      const ended = await run(settings.value)
      if (ended.isOk()) return
      process.stderr.write(`${name}: ${ended.error.message}\n`)
      process.exit(EXIT_FAILED)
    }
  }))
}
