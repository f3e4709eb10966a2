/**
 * Whether a batch job fits the limit of its route.
 *
 * Load pattern: many jobs at once at all instances, against a limit that an operator may have set far below what comes.
 * Far from the limit what instances report decides; near it the records at the platform do, one job after the other.
 */

/** Share of the limit up to which reports, which are a little old, are enough. */
const SURE_SHARE = 0.5
/** A job that its owner does not report any more, and that is older than this, has no item without a result. */
const REPORTED_WITHIN_MS = 1000

export interface SureRoomInput {
  /** Tokens that wait, as instances report them. */
  reported: number
  /** Tokens of the job. */
  tokens: number
  limit: number
  /** Instances that may accept a job of that size at the same moment. */
  instances: number
}

/** Tells whether a job fits also when every instance accepts one before it hears of the others. */
export function hasRoomForSure ({ reported, tokens, limit, instances }: SureRoomInput): boolean {
  return reported + tokens * instances <= limit * SURE_SHARE
}

export interface CountedJob {
  /** Tokens of all its items. */
  tokens: number
  /** Time since it was submitted, in milliseconds. */
  ageMs: number
  /** True when its owner was heard a short while ago. */
  isOwnerHeard: boolean
  /** Tokens of its items without a result, as its owner reports them. */
  reported?: number
}

/** Sums the tokens that wait. */
export function waitingTokens (jobs: readonly CountedJob[]): number {
  return jobs.reduce((sum, { tokens, ageMs, isOwnerHeard, reported }) => {
    if (reported !== undefined) return sum + reported
    const isDone = isOwnerHeard && ageMs > REPORTED_WITHIN_MS
    return isDone ? sum : sum + tokens
  }, 0)
}
