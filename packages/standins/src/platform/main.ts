import { command, number, option, optional, string } from 'cmd-ts'
import { runProgram, VERSION } from 'pimentoplank/shared'
import { runStandin } from '../shared'
import { createPlatformStandin } from './platformStandin'

await runProgram(command({
  name: 'standin-platform',
  version: VERSION,
  description: 'Stand-in for the platform: object API, instance list and weight store.',
  args: {
    host: option({
      type: string, long: 'host', defaultValue: () => '127.0.0.1', description: 'IP address to listen on.'
    }),
    port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'TCP port; 0 picks a free one.' }),
    token: option({ type: optional(string), long: 'token', description: 'Bearer token required of every call.' }),
    writesPerSecond: option({
      type: optional(number), long: 'writes-per-second', description: 'Writes allowed per second.'
    }),
    readsPerSecond: option({
      type: optional(number), long: 'reads-per-second', description: 'Reads allowed per second.'
    }),
    listLagMs: option({ type: optional(number), long: 'list-lag-ms', description: 'Delay of the instance list.' }),
    weightsMbPerSecond: option({
      type: optional(number), long: 'weights-mb-per-second', description: 'Bandwidth of weights.'
    }),
    weightsConcurrent: option({
      type: optional(number), long: 'weights-concurrent', description: 'Concurrent transfers.'
    })
  },
  handler: async (options) => await runStandin('standin-platform', createPlatformStandin(options).start)
}))
