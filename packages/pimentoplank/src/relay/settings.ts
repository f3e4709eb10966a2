/** Settings of a relay instance. */
import * as z from 'zod'
import { address, instanceSettings, listenSettings, logSettings, MIB_BYTES, SECOND_MS } from '../shared'

const durationMs = z.number().min(0)
const DEFAULT_MAX_OBJECT_BYTES = 1_048_576
const LEAST_MAX_OBJECT_BYTES = 65_536
const DEFAULT_MEMORY_BYTES = 350 * MIB_BYTES
const DEFAULT_DESCRIPTORS = 4096

/** Time bounds that the operator guarantees or requires. */
export const boundSettings = z.strictObject({
  configApplyMs: durationMs.default(2 * SECOND_MS).describe('Longest time until a new configuration is in force on every instance.'),
  drainMs: durationMs.default(2 * SECOND_MS).describe('Longest time until a leaving target gets no more requests.'),
  graceMs: durationMs.default(8 * SECOND_MS).describe('Longest time from the stop signal until the process ends.'),
  directoryMaxAgeMs: durationMs.default(5 * SECOND_MS).describe('Upper limit for the time that callers may cache an answer of the directory.'),
  jobEndMs: durationMs.default(3 * SECOND_MS).describe('Longest time from the acknowledgement of a job\'s end until no item of it reaches a target.'),
  jobStatusMs: durationMs.default(120 * SECOND_MS).describe('How long a job can be read after its submission.')
})

/** What the machine grants the process; what callers can make it keep is bounded by a share of it. */
export const processSettings = z.strictObject({
  memoryBytes: z.int().positive().default(DEFAULT_MEMORY_BYTES).describe('Memory that the process may use, in bytes.'),
  descriptors: z.int().positive().default(DEFAULT_DESCRIPTORS).describe('Number of descriptors that the process may have open.')
})

export const relaySettings = z.strictObject({
  instance: instanceSettings,
  /** Listening addresses; one process may serve all of them. */
  listen: z.strictObject({
    callers: listenSettings.optional().describe('Address for requests and jobs of callers.'),
    ready: listenSettings.optional().describe('Address of the readiness probe.'),
    directory: listenSettings.optional().describe('Address of the directory, which lists the instances that callers can use.'),
    peers: listenSettings.describe('Address for connections and datagrams of other instances.'),
    metrics: listenSettings.optional().describe('Address of the metrics endpoint.')
  }),
  platform: z.strictObject({
    url: z.url().describe('Base URL of the platform\'s object API.'),
    timeoutMs: durationMs.default(SECOND_MS).describe('Timeout of one call, in milliseconds.'),
    maxObjectBytes: z.int().min(LEAST_MAX_OBJECT_BYTES).default(DEFAULT_MAX_OBJECT_BYTES).describe('Maximum size of an object, in bytes.')
  }),
  targets: z.strictObject({
    localAddress: z.ipv4().optional().describe('Address from which connections to targets are made; by default the choice of the system.')
  }).prefault({}),
  seeds: z.array(address).default([]).describe('Addresses of peers to contact before any peer is known.'),
  bounds: boundSettings.prefault({}),
  process: processSettings.prefault({}),
  isFirstStart: z.boolean().default(false).describe('True when nothing has been served before this deployment started.'),
  log: logSettings.prefault({})
})
export type ProcessSettings = z.infer<typeof processSettings>
export type RelaySettings = z.infer<typeof relaySettings>
export type RelaySettingsInput = z.input<typeof relaySettings>
