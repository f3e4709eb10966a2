/** Limits retries to a share of the requests, so that they don't overload a failing fleet. */

export interface RetryBudgetOptions {
  /** Retries allowed for each request, on average. */
  ratio?: number
  /** Retries of one service that may be made in a burst. */
  reserve?: number
}

export interface RetryBudget {
  /** Records the first attempt of a request, which adds to the budget of its service. */
  recordRequest: (service: string) => void
  /** Takes one retry from the budget of a service; returns false when the budget is exhausted. */
  tryTakeRetry: (service: string) => boolean
}

const DEFAULT_RATIO = 0.1
const DEFAULT_RESERVE = 10

/** Creates the retry budget of an instance, one token bucket for each service. */
export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const ratio = options.ratio ?? DEFAULT_RATIO
  const reserve = options.reserve ?? DEFAULT_RESERVE
  const tokens = new Map<string, number>()

  return {
    recordRequest: (service) => {
      tokens.set(service, Math.min(reserve, (tokens.get(service) ?? reserve) + ratio))
    },
    tryTakeRetry: (service) => {
      const available = tokens.get(service) ?? reserve
      if (available < 1) return false
      tokens.set(service, available - 1)
      return true
    }
  }
}
