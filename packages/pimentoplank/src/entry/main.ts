import { command, option, string } from 'cmd-ts'
import { EXIT_FAILED, EXIT_USAGE, loadSettings, runProgram, VERSION } from '../shared'
import { runEntry } from './runEntry'
import { entrySettings } from './settings'

await runProgram(command({
  name: 'pimentoplank-entry',
  description: 'Serves callers: instance directory, live requests, plain services and batch jobs.',
  version: VERSION,
  args: { config: option({ type: string, long: 'config', description: 'Settings file (JSON).' }) },
  handler: async ({ config }) => {
    const settings = await loadSettings(config, entrySettings)
    if (settings.isErr()) {
      process.stderr.write(`${settings.error.message}\n`)
      process.exitCode = EXIT_USAGE
      return
    }
    const ended = await runEntry(settings.value)
    if (ended.isOk()) return
    process.stderr.write(`pimentoplank-entry: ${ended.error.message}\n`)
    process.exit(EXIT_FAILED)
  }
}))
