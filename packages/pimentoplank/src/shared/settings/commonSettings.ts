/** Settings shared by all programs of the system. */
import * as z from 'zod'
import { LOG_LEVELS } from '../logging'
import { MINUTE_MS, SECOND_MS } from '../constants'

const PORT_MAX = 65535

/** An IP address and port, such as `10.0.0.7:8080`. */
export const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:.]+\]):\d{1,5}$/i,
  'an IP number and port, such as 10.0.0.7:8080')

const port = z.int().min(0).max(PORT_MAX)

export const instanceSettings = z.strictObject({
  id: z.string().min(1).max(100).describe('Unique name of this instance.'),
  failureDomain: z.string().min(1).describe('Failure domain that this instance stands in.'),
  region: z.string().min(1).describe('Region of the failure domain.')
})

export const listenSettings = z.strictObject({
  host: z.string().default('127.0.0.1').describe('IP number to listen on.'),
  port: port.describe('TCP port; 0 takes a free one.')
})

export const tlsSettings = z.strictObject({
  certFile: z.string().describe('Certificate of this process, PEM.'),
  keyFile: z.string().describe('Private key of this process, PEM.'),
  caFile: z.string().describe('Authority that signs the certificates of peers, PEM.')
})

export const peerSettings = z.strictObject({
  listen: listenSettings.prefault({ port: 0 }).describe('Where peers connect.'),
  sharedKey: z.string().min(16).describe('Secret that every process of the system presents to its peers.'),
  tls: tlsSettings.optional().describe('Mutual TLS between processes; plain HTTP/2 when absent.'),
  seeds: z.array(address).default([]).describe('Peers to ask when the platform does not answer at start.')
})

export const platformSettings = z.strictObject({
  url: z.url().describe('Base URL of the platform\'s object API.'),
  token: z.string().optional().describe('Bearer token for the platform.'),
  timeoutMs: z.int().min(1).max(MINUTE_MS).default(2 * SECOND_MS).describe('Limit for one call, in milliseconds.')
})

export const logSettings = z.strictObject({
  level: z.enum(LOG_LEVELS).default('info').describe('Lowest level that is written.')
})

export const metricsSettings = z.strictObject({
  host: z.string().optional().describe('StatsD host; nothing is sent when absent.'),
  port: port.default(8125).describe('StatsD port.'),
  prefix: z.string().default('pimentoplank.').describe('Prefix of every metric name.')
})

/** Fields shared by the settings of all programs; extend them with `z.strictObject({ ...commonSettings, … })`. */
export const commonSettings = {
  $schema: z.string().optional().describe('JSON Schema of this file, for editors.'),
  instance: instanceSettings,
  platform: platformSettings,
  peers: peerSettings,
  log: logSettings.prefault({}),
  metrics: metricsSettings.prefault({}),
  dataFolder: z.string().optional().describe('Folder for bulk data; absent where the instance has no disk.')
}

export type CommonSettings = z.infer<z.ZodObject<typeof commonSettings>>
