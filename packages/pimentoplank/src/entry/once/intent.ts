/** Stored record (intent) of a request that runs at most once. */
import { createHash } from 'node:crypto'
import * as z from 'zod'

/** Answer of a run, stored to be replayed to resends. */
export const recordedAnswer = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('completion'),
    answer: z.object({
      id: z.string(),
      model: z.string(),
      created: z.number(),
      text: z.string(),
      finishReason: z.string(),
      promptTokens: z.number(),
      completionTokens: z.number()
    })
  }),
  z.object({
    kind: z.literal('http'),
    status: z.int(),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    /** Body bytes in Base64. */
    body: z.string()
  }),
  z.object({ kind: z.literal('tooLarge') })
])
export type RecordedAnswer = z.infer<typeof recordedAnswer>

/**
 * - `open`: the run may have been dispatched
 * - `done`: the run completed, and its answer is recorded
 * - `notRun`: the run never reached a target, so a resend may run
 * - `unknown`: the run reached a target, and its outcome is not known
 */
export const INTENT_STATES = ['open', 'done', 'notRun', 'unknown'] as const

export const intentRecord = z.object({
  contentHash: z.string(),
  state: z.enum(INTENT_STATES),
  /** Identifier of the run that this revision of the intent permits. */
  run: z.string(),
  /** Peer address of the instance that executes the run. */
  owner: z.string(),
  /** Wall-clock time after which the record may be removed, in milliseconds since the epoch. */
  expiresAt: z.number(),
  answer: recordedAnswer.optional()
})
export type IntentRecord = z.infer<typeof intentRecord>

/** Identity of a request that runs at most once. */
export interface OnceRequest {
  account: string
  /** Idempotency key, unique within the account. */
  key: string
  contentHash: string
}

/** Returns the name of a request's intent object; the key is hashed, since callers may put any characters into it. */
export function toIntentName ({ account, key }: OnceRequest): string {
  return `${account}.${createHash('sha256').update(key).digest('hex')}`
}

/** Hashes the content of a request, to distinguish a resend from a different request under the same key. */
export function computeContentHash (method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')
}
