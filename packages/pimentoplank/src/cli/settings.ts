/** Settings of the operators' command line. */
import * as z from 'zod'
import { address, platformSettings, tlsSettings } from '../shared'

export const cliSettings = z.strictObject({
  $schema: z.string().optional().describe('JSON Schema of this file, for editors.'),
  platform: platformSettings,
  peers: z.strictObject({
    sharedKey: z.string().min(16).describe('Secret that every process of the system presents to its peers.'),
    tls: tlsSettings.optional().describe('Mutual TLS between processes; plain HTTP/2 when absent.')
  }),
  entries: z.array(address).default([]).describe('Caller addresses of entry instances, for `jobs` and `cancel`.'),
  operatorKey: z.string().optional().describe('Key of an operator account, for `jobs` and `cancel`.')
})
export type CliSettings = z.infer<typeof cliSettings>
