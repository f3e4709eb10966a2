/** Settings of a relaying instance. */
import { z } from 'zod'
import { address, instanceSettings, listenSettings, logSettings, SECOND_MS } from '../shared'

const durationMs = z.number().min(0)

/** Times that the operator guarantees or asks for. */
export const boundSettings = z.strictObject({
  configApplyMs: durationMs.default(2 * SECOND_MS).describe('A configuration is in force everywhere within this time.'),
  drainMs: durationMs.default(2 * SECOND_MS).describe('A leaving target gets no request after this time.'),
  graceMs: durationMs.default(8 * SECOND_MS).describe('Longest time from the order to stop until the process ends.'),
  directoryMaxAgeMs: durationMs.default(5 * SECOND_MS).describe('Longest time that callers may be told to keep the directory\'s answer.'),
  jobStatusMs: durationMs.default(120 * SECOND_MS).describe('How long a job stays readable after its submission.')
})

export const relaySettings = z.strictObject({
  instance: instanceSettings,
  /** Caller addresses; one program may serve all of them. */
  listen: z.strictObject({
    callers: listenSettings.optional().describe('Where callers send requests and jobs.'),
    ready: listenSettings.optional().describe('Where the platform asks whether this instance is ready.'),
    directory: listenSettings.optional().describe('Where callers ask which addresses to use.'),
    peers: listenSettings.describe('Where other instances connect and send datagrams.'),
    metrics: listenSettings.optional().describe('Where metrics are read.')
  }),
  platform: z.strictObject({
    url: z.url().describe('Base URL of the platform\'s object API.'),
    timeoutMs: durationMs.default(SECOND_MS).describe('Limit for one call, in milliseconds.')
  }),
  seeds: z.array(address).default([]).describe('Peers to report to before any is known.'),
  bounds: boundSettings.prefault({}),
  log: logSettings.prefault({})
})
export type RelaySettings = z.infer<typeof relaySettings>
export type RelaySettingsInput = z.input<typeof relaySettings>
