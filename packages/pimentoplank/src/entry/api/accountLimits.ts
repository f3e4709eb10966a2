/** Admission control by client account: limits the rate and the concurrency of requests on this instance. */
import { LRUCache } from 'lru-cache'
import { err, ok, type Result } from 'neverthrow'
import { MS_PER_SECOND, RefusalError, type AccountEntry, type Clock } from '../../shared'

/** Most accounts with a token bucket; an account evicted beyond them restarts with a full one. */
const MAX_ACCOUNTS = 10_000

/** Ends an admitted request, so that it no longer counts as in flight. */
export type ReleaseAdmission = () => void

export interface AccountLimits {
  /**
   * Admits a request of an account.
   *
   * @returns the function to call when the request ends, or a refusal
   */
  admit: (account: AccountEntry) => Result<ReleaseAdmission, RefusalError>
}

interface Bucket {
  tokens: number
  refilledAt: number
}

/** Creates the limits: a token bucket for the rate, and a count of requests in flight. */
export function createAccountLimits (clock: Clock): AccountLimits {
  const buckets = new LRUCache<string, Bucket>({ max: MAX_ACCOUNTS })
  const inFlight = new Map<string, number>()

  function refill ({ name, requestsPerSecond }: AccountEntry): Bucket {
    const now = clock.now()
    const burst = Math.max(1, requestsPerSecond)
    const bucket = buckets.get(name) ?? { tokens: burst, refilledAt: now }
    bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.refilledAt) * requestsPerSecond / MS_PER_SECOND)
    bucket.refilledAt = now
    buckets.set(name, bucket)
    return bucket
  }

  function decrement (name: string): void {
    const remaining = (inFlight.get(name) ?? 1) - 1
    if (remaining > 0) inFlight.set(name, remaining)
    else inFlight.delete(name)
  }

  return {
    admit: (account) => {
      const running = inFlight.get(account.name) ?? 0
      if (running >= account.maxInFlight) return err(new RefusalError('accountLimit'))
      const bucket = refill(account)
      if (bucket.tokens < 1) {
        const retryAfterMs = (1 - bucket.tokens) * MS_PER_SECOND / account.requestsPerSecond
        return err(new RefusalError('accountRate', { retryAfterMs }))
      }
      bucket.tokens -= 1
      inFlight.set(account.name, running + 1)
      let hasEnded = false
      return ok(() => {
        if (!hasEnded) decrement(account.name)
        hasEnded = true
      })
    }
  }
}
