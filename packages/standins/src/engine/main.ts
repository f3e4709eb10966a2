import { array, command, flag, multioption, number, option, optional, string } from 'cmd-ts'
import { EXIT_FAILED, runProgram, VERSION } from 'pimentoplank/shared'
import { runStandin } from '../shared'
import { createEngineStandin } from './engineStandin'

await runProgram(command({
  name: 'standin-engine',
  version: VERSION,
  description: 'Stand-in for a model engine with continuous batching.',
  args: {
    host: option({
      type: string, long: 'host', defaultValue: () => '127.0.0.1', description: 'IP address to listen on.'
    }),
    port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'TCP port; 0 picks a free one.' }),
    platform: option({ type: optional(string), long: 'platform', description: 'URL of the platform stand-in.' }),
    id: option({ type: optional(string), long: 'id', description: 'ID in the instance list.' }),
    service: option({ type: optional(string), long: 'service', description: 'Service that the engine belongs to.' }),
    failureDomain: option({ type: optional(string), long: 'failure-domain', description: 'Failure domain.' }),
    region: option({ type: optional(string), long: 'region', description: 'Region.' }),
    slots: option({ type: optional(number), long: 'slots', description: 'Concurrent requests.' }),
    tokenMs: option({ type: optional(number), long: 'token-ms', description: 'Step time with one stream.' }),
    tokenSlopeMs: option({ type: optional(number), long: 'token-slope-ms', description: 'Added per further stream.' }),
    firstTokenMs: option({
      type: optional(number), long: 'first-token-ms', description: 'Minimum time to first token.'
    }),
    prefillTokenMs: option({
      type: optional(number), long: 'prefill-token-ms', description: 'Prefill time of one token.'
    }),
    cacheBlocks: option({ type: optional(number), long: 'cache-blocks', description: 'Prefixes the cache can hold.' }),
    loadLagMs: option({ type: optional(number), long: 'load-lag-ms', description: 'Age of the load report.' }),
    failOn: option({ type: optional(string), long: 'fail-on', description: 'Marker of prompts rejected with 500.' }),
    checksFencing: flag({ long: 'checks-fencing', description: 'Reject orders with an outdated fencing token.' }),
    softwareVersion: option({
      type: optional(string), long: 'software-version', description: 'Version of the engine software.'
    }),
    preloaded: multioption({ type: array(string), long: 'preloaded', description: 'Model that is ready at start.' })
  },
  handler: async ({ failOn, ...options }) => {
    const engine = createEngineStandin({ ...options, onCrash: () => process.exit(EXIT_FAILED) })
    engine.setFaults({ failOn })
    await runStandin('standin-engine', engine.start)
  }
}))
