/**
 * What the platform keeps of a batch job: a small record that says who works on it, its input, and its results.
 * Input and results never change once written, so any instance may keep what it has read.
 */
import { z } from 'zod'

/** Kinds of the objects. */
export const JOB_KINDS = { record: 'jobs', input: 'job-inputs', results: 'job-results' } as const

export const jobRecord = z.object({
  /** Name of the route that it came in on. */
  route: z.string(),
  host: z.string(),
  /** Instance that works on it. */
  owner: z.string(),
  /** Grows with each change of owner. */
  epoch: z.int().min(1),
  /** Wall clock time of the submission, in milliseconds. */
  submittedAt: z.number(),
  /** Number of items. */
  total: z.int().min(1),
  /** Objects that hold the input. */
  inputParts: z.int().min(1),
  /** Tokens of all items. */
  tokens: z.number(),
  /** True once its caller ended it: no item may run any more. */
  ended: z.boolean(),
  /** True once every item has its result. */
  finished: z.boolean()
})
export type JobRecord = z.infer<typeof jobRecord>

export const jobItem = z.object({
  id: z.string(),
  path: z.string(),
  /** Header names and values in turn. */
  headers: z.array(z.string()),
  /** Base64. */
  body: z.string(),
  tokens: z.number()
})
export type JobItem = z.infer<typeof jobItem>

export const jobInput = z.object({
  items: z.array(jobItem),
  /** Objects that hold the input of the job. */
  parts: z.int().min(1)
})
export type JobInput = z.infer<typeof jobInput>

export const itemResult = z.object({
  item: z.string(),
  /** False for an item that was given up. */
  completed: z.boolean(),
  text: z.string()
})
export type ItemResult = z.infer<typeof itemResult>

/** Results in the order of their positions; they follow those of the segments before. */
export const resultSegment = z.object({ results: z.array(itemResult) })
export type ResultSegment = z.infer<typeof resultSegment>

const SEGMENT_DIGITS = 6

export function segmentName (job: string, index: number): string {
  return `${job}.${String(index).padStart(SEGMENT_DIGITS, '0')}`
}

export function inputName (job: string, part: number): string {
  return `${job}.${String(part).padStart(SEGMENT_DIGITS, '0')}`
}
