/** Schemas of release notes and of the configuration entries that they add, change or withdraw. */
import * as z from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower-case letters, digits, dots and dashes')

/** A model of a service, at the version that the targets must load. */
export const modelEntry = z.strictObject({
  kind: z.literal('model'),
  name,
  service: name,
  version: z.string().min(1),
  /** Size of the weights, in megabytes; loads share the rate of the weight store in proportion to it. */
  weightsMb: z.number().positive().default(1000),
  /** Number of targets that must have the model loaded; all targets of the service when absent. */
  replicas: z.int().min(1).optional(),
  adapters: z.array(z.strictObject({ name, version: z.string().min(1) })).default([])
})
export type ModelEntry = z.infer<typeof modelEntry>

/** A group of targets: model engines, or a plain service. */
export const serviceEntry = z.strictObject({
  kind: z.literal('service'),
  name,
  type: z.enum(['engine', 'plain']),
  /** Methods of a plain service that may be retried. */
  idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])).default(['GET', 'HEAD', 'OPTIONS']),
  /** Timeout of a call, in milliseconds. */
  timeoutMs: z.int().min(1).default(30_000),
  /** Initial slots of a target, until its concurrency limit has adapted. */
  slotsPerTarget: z.int().min(1).default(8),
  /** Latency goals that the concurrency limit of a target adapts to, in milliseconds. */
  firstTokenGoalMs: z.int().min(1).default(600),
  tokenGapGoalMs: z.int().min(1).default(31)
})
export type ServiceEntry = z.infer<typeof serviceEntry>

/** Account of a caller or an operator. */
export const accountEntry = z.strictObject({
  kind: z.literal('account'),
  name,
  /** SHA-256 of the API key, in hexadecimal. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of the key, 64 hexadecimal digits'),
  role: z.enum(['caller', 'operator']).default('caller'),
  /** Weight in the fair sharing of a contended target among accounts. */
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

/** A configuration change as written by an operator. */
export const releaseNote = z.strictObject({
  /** Sequence number of the configuration that the note is based on; 0 for the first note. */
  base: z.int().min(0),
  author: z.string().max(200).default(''),
  message: z.string().max(2000).default(''),
  added: z.array(configEntry).default([]),
  changed: z.array(configEntry).default([]),
  withdrawn: z.array(entryRef).default([])
})
export type ReleaseNote = z.infer<typeof releaseNote>
