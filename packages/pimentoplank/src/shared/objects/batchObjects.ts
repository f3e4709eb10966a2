/** Values of the objects that make up a batch job. */
import { z } from 'zod'

export const BATCH_ENDPOINTS = ['/v1/chat/completions', '/v1/completions'] as const

/** One item, as a caller sends it: a line of the upload. */
export const batchItem = z.strictObject({
  id: z.string().min(1).max(200),
  body: z.looseObject({ model: z.string().min(1).optional() }),
  endpoint: z.enum(BATCH_ENDPOINTS).default('/v1/chat/completions'),
  /** Runs at most once; ends as `unknown` where its outcome can't be settled. */
  noRepeat: z.boolean().default(false)
}).superRefine((item, ctx) => {
  const expected = item.endpoint === '/v1/completions' ? 'prompt' : 'messages'
  const found = item.body[expected]
  const hasForm = expected === 'messages' ? Array.isArray(found) : typeof found === 'string'
  const isFilled = hasForm && (found as unknown[] | string).length > 0
  if (!isFilled) ctx.addIssue({ code: 'custom', path: ['body', expected], message: `${expected} is missing or empty` })
})
export type BatchItem = z.infer<typeof batchItem>

/** Input of one chunk; created before the job is acknowledged and never changed. */
export const chunkRecord = z.object({
  /** Every body names its model. */
  items: z.array(z.object({
    id: z.string(),
    body: z.record(z.string(), z.unknown()),
    endpoint: z.enum(BATCH_ENDPOINTS),
    noRepeat: z.boolean()
  }))
})
export type ChunkRecord = z.infer<typeof chunkRecord>
export type ChunkItem = ChunkRecord['items'][number]

/** First object of an upload, by which the collector finds it; its name sorts before those of the chunks. */
export const uploadRecord = z.object({ job: z.string(), startedAt: z.number() })
export type UploadRecord = z.infer<typeof uploadRecord>

export const batchCounts = z.object({ done: z.int(), failed: z.int(), unknown: z.int() })
export type BatchCounts = z.infer<typeof batchCounts>

export const JOB_STATES = ['running', 'cancelling', 'cancelled', 'done'] as const
export const jobState = z.enum(JOB_STATES)
export type JobState = z.infer<typeof jobState>

/** A job. Creating it acknowledges the upload. */
export const jobRecord = z.object({
  account: z.string(),
  /** The caller's key for the job. */
  key: z.string(),
  /** Identifies the chunks that belong to the job. */
  uploadId: z.string(),
  /** SHA-256 of the default model and of every line. */
  contentHash: z.string(),
  items: z.int(),
  chunks: z.int(),
  models: z.array(z.string()),
  state: jobState,
  /** Present once the state is final. */
  counts: batchCounts.optional(),
  /** Wall clock times in milliseconds, for display and retention. */
  createdAt: z.number(),
  endedAt: z.number().optional()
})
export type JobRecord = z.infer<typeof jobRecord>

/** Who works on a chunk: a runner's lease, at the epoch that it had. */
export const chunkOwner = z.object({ lease: z.string(), leaseEpoch: z.int(), lengthMs: z.int() })
export type ChunkOwner = z.infer<typeof chunkOwner>

/** State of a chunk. A result counts once the segment that holds it is listed here. */
export const checkpointRecord = z.object({
  /** Grows with each claim; a holder of an older one can't commit. */
  epoch: z.int().min(1),
  /** Null when anyone may claim it. */
  owner: chunkOwner.nullable(),
  state: z.enum(['open', 'complete', 'sealed']),
  /** Items of the chunk. */
  items: z.int(),
  /** Items that have a result, as a bitmap. */
  finished: z.string(),
  /** Items not to be repeated that were or may have been dispatched, as a bitmap. */
  started: z.string(),
  counts: batchCounts,
  segments: z.array(z.object({ name: z.string(), results: z.int() }))
})
export type CheckpointRecord = z.infer<typeof checkpointRecord>

export const RESULT_STATUSES = ['done', 'failed', 'unknown'] as const

/** Result of one item: a line of the results. */
export const batchResult = z.object({
  id: z.string(),
  status: z.enum(RESULT_STATUSES),
  /** The engine's answer, for `done`. */
  response: z.record(z.string(), z.unknown()).optional(),
  error: z.object({ reason: z.string(), detail: z.string() }).optional()
})
export type BatchResult = z.infer<typeof batchResult>

/** Results of some items of a chunk; created once. */
export const segmentRecord = z.object({ results: z.array(batchResult) })
export type SegmentRecord = z.infer<typeof segmentRecord>

/** True when nothing about the job will change any more. */
export function isFinalState (state: JobState): boolean {
  return state === 'done' || state === 'cancelled'
}
