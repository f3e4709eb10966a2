/** Limits of each caller account on this instance. */
import { LRUCache } from 'lru-cache'
import { err, ok, type Result } from 'neverthrow'
import { MS_PER_SECOND, RefusalError, type AccountEntry, type Clock } from '../../shared'

/** Accounts whose rate is remembered; one beyond them starts with a full bucket. */
const MAX_ACCOUNTS = 10_000

/** Gives the place of a request in flight back. */
export type LeaveAccount = () => void

export interface AccountLimits {
  /** Admits a request of an account, or says when to come back. */
  enter: (account: AccountEntry) => Result<LeaveAccount, RefusalError>
}

interface Bucket {
  tokens: number
  filledAt: number
}

/** Creates the limits: a token bucket for the rate, and a count of requests in flight. */
export function createAccountLimits (clock: Clock): AccountLimits {
  const buckets = new LRUCache<string, Bucket>({ max: MAX_ACCOUNTS })
  const inFlight = new Map<string, number>()

  function fill ({ name, requestsPerSecond }: AccountEntry): Bucket {
    const now = clock.now()
    const burst = Math.max(1, requestsPerSecond)
    const bucket = buckets.get(name) ?? { tokens: burst, filledAt: now }
    bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.filledAt) * requestsPerSecond / MS_PER_SECOND)
    bucket.filledAt = now
    buckets.set(name, bucket)
    return bucket
  }

  function leave (name: string): void {
    const left = (inFlight.get(name) ?? 1) - 1
    if (left > 0) inFlight.set(name, left)
    else inFlight.delete(name)
  }

  return {
    enter: (account) => {
      const running = inFlight.get(account.name) ?? 0
      if (running >= account.maxInFlight) return err(new RefusalError('accountLimit'))
      const bucket = fill(account)
      if (bucket.tokens < 1) {
        const retryAfterMs = (1 - bucket.tokens) * MS_PER_SECOND / account.requestsPerSecond
        return err(new RefusalError('accountRate', { retryAfterMs }))
      }
      bucket.tokens -= 1
      inFlight.set(account.name, running + 1)
      let left = false
      return ok(() => {
        if (!left) leave(account.name)
        left = true
      })
    }
  }
}
