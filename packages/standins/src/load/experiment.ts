/** Schema of an experiment file. */
import * as z from 'zod'

const HOUR_MS = 3_600_000
const durationMs = z.number().min(0).max(HOUR_MS)

export const phase = z.strictObject({
  ms: durationMs.describe('Mean length of the phase, in milliseconds; each length is drawn around it.'),
  factor: z.number().min(0).describe('Multiplies the rate; 0 is an idle gap.')
})

export const liveLoad = z.strictObject({
  ratePerSecond: z.number().positive().max(5000).describe('Mean rate of requests in a phase of factor 1.'),
  phases: z.array(phase).default([]).describe('Cycled through in order; the rate is steady when empty.'),
  phaseJitter: z.number().min(0).max(1).default(0.5).describe('Share by which the length of a phase varies.'),
  minTokens: z.int().min(1).default(8),
  maxTokens: z.int().min(1).default(32),
  promptPrefixes: z.int().min(1).default(20).describe('Number of different prefixes that prompts share.'),
  prefixSkew: z.number().min(0).default(1),
  prefixChars: z.int().min(0).max(100_000).default(1024),
  promptChars: z.int().min(0).max(100_000).default(64),
  timeoutMs: durationMs.optional().describe('Deadline sent with each request.')
})
export type LiveLoad = z.infer<typeof liveLoad>

export const batchLoad = z.strictObject({
  jobs: z.int().min(0).default(1),
  itemsPerJob: z.int().min(1).max(250_000),
  startAtMs: durationMs.default(0),
  maxTokens: z.int().min(1).default(16),
  promptPrefixes: z.int().min(1).default(20),
  prefixChars: z.int().min(0).max(100_000).default(1024),
  neverCompleting: z.int().min(0).default(0).describe('Items of each job that fail on every run.'),
  limitMs: durationMs.default(120_000).describe('Longest wait for the end of a job after its submission.'),
  pollMs: z.number().min(10).default(500).describe('Interval between two polls of the job status.')
})
export type BatchLoad = z.infer<typeof batchLoad>

export const scheduledFault = z.strictObject({
  atMs: durationMs,
  target: z.string().describe('Name given on the command line, or a URL.'),
  faults: z.record(z.string(), z.unknown()).describe('Body of PATCH /_control/faults.')
})
export type ScheduledFault = z.infer<typeof scheduledFault>

export const experiment = z.strictObject({
  $schema: z.string().optional(),
  name: z.string().min(1),
  seed: z.int().default(1),
  model: z.string().min(1),
  durationMs: durationMs.describe('Time during which live requests are sent.'),
  warmupMs: durationMs.default(0).describe('Requests before this time are sent but not counted.'),
  accounts: z.strictObject({
    keys: z.array(z.string()).default([]).describe('Account keys; keys generated from keyPrefix and count follow them.'),
    count: z.int().min(0).max(10_000).default(0),
    keyPrefix: z.string().default('load-key-'),
    skew: z.number().min(0).default(1)
  }),
  batchKey: z.string().optional().describe('Account key for batch jobs; that of the first account when absent.'),
  live: liveLoad.optional(),
  batch: batchLoad.optional(),
  faults: z.array(scheduledFault).default([])
})
export type Experiment = z.infer<typeof experiment>

/** Returns the keys of all accounts of an experiment. */
export function getAccountKeys ({ accounts }: Pick<Experiment, 'accounts'>): string[] {
  const generatedKeys = Array.from({ length: accounts.count }, (_, index) => `${accounts.keyPrefix}${index}`)
  return [...accounts.keys, ...generatedKeys]
}
