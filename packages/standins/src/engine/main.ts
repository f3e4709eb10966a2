import { array, command, flag, multioption, number, option, optional, string } from 'cmd-ts'
import { EXIT_FAILED, runProgram, VERSION } from 'pimentoplank/shared'
import { runStandin } from '../shared'
import { createEngineStandin } from './engineStandin'

await runProgram(command({
  name: 'standin-engine',
  version: VERSION,
  description: 'Stand-in for a model engine with continuous batching.',
  args: {
    host: option({ type: string, long: 'host', defaultValue: () => '127.0.0.1', description: 'IP number.' }),
    port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'TCP port; 0 takes a free one.' }),
    platform: option({ type: optional(string), long: 'platform', description: 'URL of the platform stand-in.' }),
    id: option({ type: optional(string), long: 'id', description: 'Id in the instance list.' }),
    service: option({ type: optional(string), long: 'service', description: 'Service that it belongs to.' }),
    failureDomain: option({ type: optional(string), long: 'failure-domain', description: 'Failure domain.' }),
    region: option({ type: optional(string), long: 'region', description: 'Region.' }),
    slots: option({ type: optional(number), long: 'slots', description: 'Requests that run at once.' }),
    tokenMs: option({ type: optional(number), long: 'token-ms', description: 'Step time of one stream.' }),
    tokenSlopeMs: option({ type: optional(number), long: 'token-slope-ms', description: 'Added by each further stream.' }),
    firstTokenMs: option({ type: optional(number), long: 'first-token-ms', description: 'Least time to the first token.' }),
    prefillTokenMs: option({ type: optional(number), long: 'prefill-token-ms', description: 'Prefill of one token.' }),
    cacheBlocks: option({ type: optional(number), long: 'cache-blocks', description: 'Prefixes that fit the cache.' }),
    loadLagMs: option({ type: optional(number), long: 'load-lag-ms', description: 'Age of the load report.' }),
    failOn: option({ type: optional(string), long: 'fail-on', description: 'Marker of prompts that get 500.' }),
    checksFencing: flag({ long: 'checks-fencing', description: 'Refuse orders with an old fencing number.' }),
    preloaded: multioption({ type: array(string), long: 'preloaded', description: 'Model that is ready at once.' })
  },
  handler: async ({ failOn, ...options }) => {
    const engine = createEngineStandin({ ...options, onCrash: () => process.exit(EXIT_FAILED) })
    engine.setFaults({ failOn })
    await runStandin('standin-engine', engine.start)
  }
}))
