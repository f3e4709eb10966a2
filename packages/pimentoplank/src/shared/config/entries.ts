/** What a release note adds, changes or withdraws. */
import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower-case letters, digits, dots and dashes')

/** One model of a service, at the version that its targets must load. */
export const modelEntry = z.strictObject({
  kind: z.literal('model'),
  name,
  service: name,
  version: z.string().min(1),
  /** Size of the weights, in megabytes; the weight store's rate is shared by it. */
  weightsMb: z.number().positive().default(1000),
  /** Targets that must have it loaded; all of the service when absent. */
  replicas: z.int().min(1).optional(),
  adapters: z.array(z.strictObject({ name, version: z.string().min(1) })).default([])
})
export type ModelEntry = z.infer<typeof modelEntry>

/** A group of targets: model engines, or a plain service. */
export const serviceEntry = z.strictObject({
  kind: z.literal('service'),
  name,
  type: z.enum(['engine', 'plain']),
  /** Methods of a plain service that may be sent again. */
  idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])).default(['GET', 'HEAD', 'OPTIONS']),
  /** Longest time for a call, in milliseconds. */
  timeoutMs: z.int().min(1).default(30_000),
  /** Slots of one target before its own limit is learned. */
  slotsPerTarget: z.int().min(1).default(8),
  /** Goals that the limit of a target adapts to, in milliseconds. */
  firstTokenGoalMs: z.int().min(1).default(600),
  tokenGapGoalMs: z.int().min(1).default(31)
})
export type ServiceEntry = z.infer<typeof serviceEntry>

/** A caller account, or an operator. */
export const accountEntry = z.strictObject({
  kind: z.literal('account'),
  name,
  /** SHA-256 of the key, hexadecimal. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of the key, 64 hexadecimal digits'),
  role: z.enum(['caller', 'operator']).default('caller'),
  /** Share of a contended target, against other accounts. */
  weight: z.number().positive().default(1),
  maxInFlight: z.int().min(1).default(100),
  requestsPerSecond: z.number().positive().default(100)
})
export type AccountEntry = z.infer<typeof accountEntry>

export const configEntry = z.discriminatedUnion('kind', [modelEntry, serviceEntry, accountEntry])
export type ConfigEntry = z.infer<typeof configEntry>
export type ConfigEntryKind = ConfigEntry['kind']

export const entryRef = z.strictObject({ kind: z.enum(['model', 'service', 'account']), name })
export type EntryRef = z.infer<typeof entryRef>

/** A change of the configuration, as an operator writes it. */
export const releaseNote = z.strictObject({
  /** Sequence number of the configuration that the note was written against; 0 for the first. */
  base: z.int().min(0),
  author: z.string().max(200).default(''),
  message: z.string().max(2000).default(''),
  added: z.array(configEntry).default([]),
  changed: z.array(configEntry).default([]),
  withdrawn: z.array(entryRef).default([])
})
export type ReleaseNote = z.infer<typeof releaseNote>
