import { command, option, string } from 'cmd-ts'
import { runProgram, VERSION } from '../shared'

await runProgram(command({
  name: 'pimentoplank-controller',
  version: VERSION,
  args: { config: option({ type: string, long: 'config', description: 'Settings file (JSON).' }) },
  handler: async () => undefined
}))
