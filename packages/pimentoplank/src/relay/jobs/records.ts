/**
 * Stored form of a batch job at the platform: a small record that names its owner, its input, and its results.
 * Input and results are immutable once written, so any instance may cache them.
 */
import * as z from 'zod'

/** Object kinds at the platform. */
export const JOB_KINDS = { record: 'jobs', input: 'job-inputs', results: 'job-results' } as const

export const jobRecord = z.object({
  /** Name of the route on which the job was submitted. */
  route: z.string(),
  host: z.string(),
  /** Instance that runs the job. */
  owner: z.string(),
  /** Increases with each change of owner. */
  epoch: z.int().min(1),
  /** Wall clock time of the submission, in milliseconds. */
  submittedAt: z.number(),
  /** Number of items. */
  total: z.int().min(1),
  /** Number of input objects. */
  inputParts: z.int().min(1),
  /** Total tokens of all items. */
  tokens: z.number(),
  /** True once the caller has ended the job; no further item may run. */
  ended: z.boolean(),
  /** True once every item has a stored result. */
  finished: z.boolean(),
  /** True once another instance than the one that stored the job has accepted it, which then can't withdraw it. */
  accepted: z.boolean().optional()
})
export type JobRecord = z.infer<typeof jobRecord>

export const jobItem = z.object({
  id: z.string(),
  path: z.string(),
  /** Alternating header names and values. */
  headers: z.array(z.string()),
  /** Request body in base64. */
  body: z.string(),
  tokens: z.number()
})
export type JobItem = z.infer<typeof jobItem>

export const jobInput = z.object({
  items: z.array(jobItem),
  /** Number of input objects of the job. */
  parts: z.int().min(1)
})
export type JobInput = z.infer<typeof jobInput>

export const itemResult = z.object({
  item: z.string(),
  /** False for an item that failed permanently or expired. */
  completed: z.boolean(),
  text: z.string()
})
export type ItemResult = z.infer<typeof itemResult>

/**
 * Results in order of position; they continue those of the preceding segments. Each owner begins with an empty segment,
 * so that what a former owner writes from then on finds its place taken.
 */
export const resultSegment = z.object({
  results: z.array(itemResult),
  /** Epoch of the owner that wrote it; absent in segments of earlier versions. */
  epoch: z.int().min(1).optional()
})
export type ResultSegment = z.infer<typeof resultSegment>

const SEGMENT_DIGITS = 6

export function toSegmentName (job: string, index: number): string {
  return `${job}.${String(index).padStart(SEGMENT_DIGITS, '0')}`
}

export function toInputName (job: string, part: number): string {
  return `${job}.${String(part).padStart(SEGMENT_DIGITS, '0')}`
}
