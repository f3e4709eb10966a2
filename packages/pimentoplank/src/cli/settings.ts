/** Settings of the operators' command line. */
import { z } from 'zod'
import { address, commonSettings, platformSettings, tlsSettings } from '../shared'

export const cliSettings = z.strictObject({
  $schema: commonSettings.$schema,
  platform: platformSettings,
  peers: z.strictObject({
    sharedKey: z.string().min(16).describe('Secret that the processes of the system share.'),
    tls: tlsSettings.optional().describe('Certificate of this operator, where processes use mutual TLS.')
  }),
  entries: z.array(address).default([]).describe('Caller addresses of entry instances, for jobs and cancel.'),
  operatorKey: z.string().optional().describe('Key of an operator account, for jobs and cancel.')
})
export type CliSettings = z.infer<typeof cliSettings>
