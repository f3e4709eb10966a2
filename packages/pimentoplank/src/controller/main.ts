import { command, option, string } from 'cmd-ts'
import { createStopSignal, EXIT_FAILED, EXIT_USAGE, loadSettings, runProgram, VERSION } from '../shared'
import { controllerSettings } from './settings'
import { startController } from './startController'

await runProgram(command({
  name: 'pimentoplank-controller',
  description: 'Makes the fleet follow the configuration. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.',
  version: VERSION,
  args: { config: option({ type: string, long: 'config', description: 'Settings file (JSON).' }) },
  handler: async ({ config }) => {
    const settings = await loadSettings(config, controllerSettings)
    if (settings.isErr()) {
      process.stderr.write(`${settings.error.message}\n`)
      process.exitCode = EXIT_USAGE
      return
    }
    const running = await startController(settings.value, createStopSignal())
    if (running.isErr()) {
      process.stderr.write(`pimentoplank-controller: ${running.error.message}\n`)
      process.exitCode = EXIT_FAILED
      return
    }
    await running.value.ended
  }
}))
