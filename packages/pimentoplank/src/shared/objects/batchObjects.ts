/** Schemas of the stored objects of a batch job. */
import * as z from 'zod'

export const BATCH_ENDPOINTS = ['/v1/chat/completions', '/v1/completions'] as const

/** An item as sent by the caller: one line of the upload. */
export const batchItem = z.strictObject({
  id: z.string().min(1).max(200),
  body: z.looseObject({ model: z.string().min(1).optional() }),
  endpoint: z.enum(BATCH_ENDPOINTS).default('/v1/chat/completions'),
  /** At-most-once item: it is never repeated, and ends as `unknown` when its outcome cannot be determined. */
  noRepeat: z.boolean().default(false)
}).superRefine((item, ctx) => {
  const expected = item.endpoint === '/v1/completions' ? 'prompt' : 'messages'
  const found = item.body[expected]
  const hasForm = expected === 'messages' ? Array.isArray(found) : typeof found === 'string'
  const isFilled = hasForm && (found as unknown[] | string).length > 0
  if (!isFilled) ctx.addIssue({ code: 'custom', path: ['body', expected], message: `${expected} is missing or empty` })
})
export type BatchItem = z.infer<typeof batchItem>

/** Input of one chunk; created before the job is acknowledged, and immutable. */
export const chunkRecord = z.object({
  /** Each body includes its model. */
  items: z.array(z.object({
    id: z.string(),
    body: z.record(z.string(), z.unknown()),
    endpoint: z.enum(BATCH_ENDPOINTS),
    noRepeat: z.boolean()
  }))
})
export type ChunkRecord = z.infer<typeof chunkRecord>
export type ChunkItem = ChunkRecord['items'][number]

/** First object of an upload, by which the collector finds the upload; its name sorts before those of the chunks. */
export const uploadRecord = z.object({ job: z.string(), startedAt: z.number() })
export type UploadRecord = z.infer<typeof uploadRecord>

export const batchCounts = z.object({ done: z.int(), failed: z.int(), unknown: z.int() })
export type BatchCounts = z.infer<typeof batchCounts>

export const JOB_STATES = ['running', 'cancelling', 'cancelled', 'done'] as const
export const jobState = z.enum(JOB_STATES)
export type JobState = z.infer<typeof jobState>

/** A job; its creation acknowledges the upload. */
export const jobRecord = z.object({
  account: z.string(),
  /** Key of the job, chosen by the caller. */
  key: z.string(),
  /** Identifies the chunks that belong to the job. */
  uploadId: z.string(),
  /** SHA-256 of the default model and all lines. */
  contentHash: z.string(),
  items: z.int(),
  chunks: z.int(),
  models: z.array(z.string()),
  state: jobState,
  /** Set when the state becomes final. */
  counts: batchCounts.optional(),
  /** Wall clock times in milliseconds since the Unix epoch, for display and retention. */
  createdAt: z.number(),
  endedAt: z.number().optional()
})
export type JobRecord = z.infer<typeof jobRecord>

/** Owner of a chunk: the lease of a runner and its epoch at the claim. */
export const chunkOwner = z.object({ lease: z.string(), leaseEpoch: z.int(), lengthMs: z.int() })
export type ChunkOwner = z.infer<typeof chunkOwner>

/** State of a chunk. A result is committed when its segment is listed here. */
export const checkpointRecord = z.object({
  /** Increases with each claim; the owner of an older epoch cannot commit. */
  epoch: z.int().min(1),
  /** Null when any runner may claim the chunk. */
  owner: chunkOwner.nullable(),
  state: z.enum(['open', 'complete', 'sealed']),
  /** Number of items in the chunk. */
  items: z.int(),
  /** Bitmap of the items that have a result. */
  finished: z.string(),
  /** Bitmap of the at-most-once items that were or may have been dispatched. */
  started: z.string(),
  counts: batchCounts,
  segments: z.array(z.object({ name: z.string(), results: z.int() }))
})
export type CheckpointRecord = z.infer<typeof checkpointRecord>

export const RESULT_STATUSES = ['done', 'failed', 'unknown'] as const

/** Result of one item: one line of the results. */
export const batchResult = z.object({
  id: z.string(),
  status: z.enum(RESULT_STATUSES),
  /** Response of the engine, for `done`. */
  response: z.record(z.string(), z.unknown()).optional(),
  error: z.object({ reason: z.string(), detail: z.string() }).optional()
})
export type BatchResult = z.infer<typeof batchResult>

/** Results of some items of a chunk; immutable. */
export const segmentRecord = z.object({ results: z.array(batchResult) })
export type SegmentRecord = z.infer<typeof segmentRecord>

/** Checks whether a job state is final. */
export function isFinalState (state: JobState): boolean {
  return state === 'done' || state === 'cancelled'
}
