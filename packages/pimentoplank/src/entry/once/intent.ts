/** The record of a request that runs at most once. */
import { createHash } from 'node:crypto'
import { z } from 'zod'

/** The answer of a run, kept for resends. */
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
    /** Base64. */
    body: z.string()
  }),
  z.object({ kind: z.literal('tooLarge') })
])
export type RecordedAnswer = z.infer<typeof recordedAnswer>

/**
 * - `open`: its run may have been dispatched
 * - `done`: its run ended, and the answer is recorded
 * - `notRun`: its run never reached a target, so another send may run
 * - `unknown`: its run reached a target, and nobody knows how it ended
 */
export const INTENT_STATES = ['open', 'done', 'notRun', 'unknown'] as const

export const intentRecord = z.object({
  contentHash: z.string(),
  state: z.enum(INTENT_STATES),
  /** Token of the one run that this revision of the intent stands for. */
  run: z.string(),
  /** Peer address of the instance that runs it. */
  owner: z.string(),
  /** Wall clock time after which the record may be removed, in milliseconds since the epoch. */
  expiresAt: z.number(),
  answer: recordedAnswer.optional()
})
export type IntentRecord = z.infer<typeof intentRecord>

/** What identifies a request that runs at most once. */
export interface OnceRequest {
  account: string
  /** Idempotency key, unique within the account. */
  key: string
  contentHash: string
}

/** Names the intent object of a request; the key is the caller's text and may hold anything. */
export function intentNameOf ({ account, key }: OnceRequest): string {
  return `${account}.${createHash('sha256').update(key).digest('hex')}`
}

/** Hashes what a request asks for, to tell a resend from another request under the same key. */
export function contentHashOf (method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')
}
