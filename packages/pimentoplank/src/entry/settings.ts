/** Settings of an entry instance. */
import * as z from 'zod'
import {
  commonSettings, HOUR_MS, KIB_BYTES, listenSettings, MIB_BYTES, MINUTE_MS, SECOND_MS, slotClientSettings,
  slotSchedulerSettings
} from '../shared'

const durationMs = z.int().min(1).max(24 * HOUR_MS)

export const directorySettings = z.strictObject({
  maxAgeMs: durationMs.default(5 * SECOND_MS).describe('How long callers may cache the response, in milliseconds.'),
  maxInstances: z.int().min(1).max(1000).default(16).describe('Most instances in one response.')
})

export const deadlineSettings = z.strictObject({
  defaultMs: durationMs.default(30 * SECOND_MS).describe('Deadline of a request that sets none, in milliseconds.'),
  maxMs: durationMs.default(5 * MINUTE_MS).describe('Longest deadline that a request may set, in milliseconds.')
})

export const retrySettings = z.strictObject({
  budgetRatio: z.number().min(0).max(1).default(0.1).describe('Retries allowed for each request, on average.'),
  budgetReserve: z.number().min(0).default(32).describe('Retries of a service that may be made in a burst.'),
  maxAttempts: z.int().min(1).max(20).default(4).describe('Attempts of one request without progress, including the first.')
})

export const streamSettings = z.strictObject({
  firstTokenTimeoutMs: durationMs.default(10 * SECOND_MS)
    .describe('Time without the first token after which another connection or target is sought for a stream, in milliseconds.'),
  tokenGapTimeoutMs: durationMs.default(2 * SECOND_MS)
    .describe('Time without a further token after which another connection or target is sought, in milliseconds.'),
  callerStallTimeoutMs: durationMs.default(20 * SECOND_MS)
    .describe('How long a caller may leave a response unread before its connection is closed, in milliseconds.')
})

export const onceSettings = z.strictObject({
  keepMs: durationMs.default(24 * HOUR_MS)
    .describe('How long the outcome of an at-most-once request is kept, in milliseconds.'),
  maxAnswerBytes: z.int().min(1).max(512 * KIB_BYTES).default(256 * KIB_BYTES)
    .describe('Largest response that is recorded for a resend, in bytes.')
})

export const quarantineSettings = z.strictObject({
  keepMs: durationMs.default(HOUR_MS).describe('How long content that crashed targets is refused, in milliseconds.')
})

export const stopSettings = z.strictObject({
  graceMs: durationMs.default(2 * MINUTE_MS)
    .describe('Longest time from the stop signal until the process exits, in milliseconds.')
})

export const entrySettings = z.strictObject({
  ...commonSettings,
  listen: listenSettings.describe('Address that callers connect to.'),
  maxBodyBytes: z.int().min(1).default(MIB_BYTES).describe('Largest request body, in bytes; job uploads have their own limit.'),
  deadlines: deadlineSettings.prefault({}),
  directory: directorySettings.prefault({}),
  retries: retrySettings.prefault({}),
  streams: streamSettings.prefault({}),
  once: onceSettings.prefault({}),
  quarantine: quarantineSettings.prefault({}),
  stop: stopSettings.prefault({}),
  slotClient: slotClientSettings.prefault({}),
  slotHome: slotSchedulerSettings.prefault({})
})
export type EntrySettings = z.infer<typeof entrySettings>
