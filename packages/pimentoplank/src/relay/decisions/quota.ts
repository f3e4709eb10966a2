/**
 * Token quota: whether a batch job fits the limit of its route.
 *
 * Load pattern: many concurrent jobs at all instances, which may not hear each other, against a limit that may be far
 * below the demand, while the platform answers in milliseconds, in a second, or not at all. Only stored records tell
 * which jobs exist, in one order for all instances; what is heard from owners tells how much of a job is done, which
 * is never undone.
 */

/** Longest age of the records on which a job is refused before anything of it is stored, in milliseconds. */
const MAX_REFUSAL_AGE_MS = 500

export interface CountedJob {
  /** Tokens of all its items. */
  tokens: number
  /** Tokens of its unfinished items as its owner knows or reports; undefined when its owner does not tell. */
  open?: number
}

/** Sums the tokens of unfinished items; a job of which its owner tells nothing counts in full. */
export function countWaitingTokens (jobs: Iterable<CountedJob>): number {
  let sum = 0
  for (const { tokens, open = tokens } of jobs) sum += Math.min(tokens, open)
  return sum
}

export interface JobPosition {
  /** Revision of its record. */
  revision: number
  /** Increases with each change of owner. */
  epoch: number
  /** True if an instance has noted that it accepted the job, which was stored for another one. */
  accepted?: boolean
}

/**
 * True if a job comes before another one, which fits only with all of these. A job whose record was changed since it
 * was accepted has a later revision than it was accepted with.
 */
export function comesBefore (job: JobPosition, revision: number): boolean {
  return job.revision <= revision || job.epoch > 1 || job.accepted === true
}

/**
 * True if a job may be refused on records of this age.
 *
 * @param ageMs - time since the records were current, in milliseconds
 */
export function mayRefuse (ageMs: number): boolean {
  return ageMs <= MAX_REFUSAL_AGE_MS
}
