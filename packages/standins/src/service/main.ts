import { command, number, option, optional, string } from 'cmd-ts'
import { runProgram, VERSION } from 'pimentoplank/shared'
import { runStandin } from '../shared'
import { createServiceStandin } from './serviceStandin'

await runProgram(command({
  name: 'standin-service',
  version: VERSION,
  description: 'Stand-in for a plain service that records its runs by request key.',
  args: {
    host: option({
      type: string, long: 'host', defaultValue: () => '127.0.0.1', description: 'IP address to listen on.'
    }),
    port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'TCP port; 0 picks a free one.' }),
    platform: option({ type: optional(string), long: 'platform', description: 'URL of the platform stand-in.' }),
    id: option({ type: optional(string), long: 'id', description: 'ID in the instance list.' }),
    service: option({ type: optional(string), long: 'service', description: 'Service that the instance belongs to.' }),
    failureDomain: option({ type: optional(string), long: 'failure-domain', description: 'Failure domain.' }),
    region: option({ type: optional(string), long: 'region', description: 'Region.' })
  },
  handler: async (options) => await runStandin('standin-service', createServiceStandin(options).start)
}))
