/**
 * Token quota: whether a batch job fits the limit of its route.
 *
 * Load pattern: many concurrent jobs at all instances, against a limit that may be far below the demand. Well below the
 * limit the reports of the instances decide; close to it the stored job records do, one job after the other.
 */

/** Share of the limit up to which the slightly outdated reports are sufficient. */
const REPORTS_SUFFICE_SHARE = 0.5
/** A job older than this counts as finished when its owner is alive but does not report it, in milliseconds. */
const UNREPORTED_GRACE_MS = 1000

export interface QuotaCheckInput {
  /** Tokens of unfinished items, as reported by all instances. */
  reported: number
  /** Tokens of the new job. */
  tokens: number
  limit: number
  /** Number of instances that may accept a job of this size concurrently. */
  instances: number
}

/** True when the job fits even if every instance accepts one of its size before it receives the others' reports. */
export function isClearlyUnderLimit ({ reported, tokens, limit, instances }: QuotaCheckInput): boolean {
  return reported + tokens * instances <= limit * REPORTS_SUFFICE_SHARE
}

export interface CountedJob {
  /** Tokens of all its items. */
  tokens: number
  /** Time since its submission, in milliseconds. */
  ageMs: number
  /** True when its owner is alive by its heartbeats. */
  isOwnerHeard: boolean
  /** Tokens of its unfinished items, as reported by its owner; undefined when the owner does not report the job. */
  reported?: number
}

/** Sums the tokens of unfinished items; a job without a report counts in full unless it counts as finished. */
export function countWaitingTokens (jobs: readonly CountedJob[]): number {
  return jobs.reduce((sum, { tokens, ageMs, isOwnerHeard, reported }) => {
    if (reported !== undefined) return sum + reported
    const isDone = isOwnerHeard && ageMs > UNREPORTED_GRACE_MS
    return isDone ? sum : sum + tokens
  }, 0)
}
