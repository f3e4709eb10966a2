/** Bounds retries to a share of the requests, so that a failing fleet is not flooded. */

export interface RetryBudgetOptions {
  /** Retries allowed for each request, on average. */
  ratio?: number
  /** Retries of one service that may be made in a burst. */
  reserve?: number
}

export interface RetryBudget {
  /** Notes a first try of a service. */
  noteRequest: (service: string) => void
  /** Takes one retry out of the budget of a service; false when it is spent. */
  takeRetry: (service: string) => boolean
}

const DEFAULT_RATIO = 0.1
const DEFAULT_RESERVE = 10

/** Creates the retry budget of an instance, one token bucket for each service. */
export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const ratio = options.ratio ?? DEFAULT_RATIO
  const reserve = options.reserve ?? DEFAULT_RESERVE
  const tokens = new Map<string, number>()

  return {
    noteRequest: (service) => {
      tokens.set(service, Math.min(reserve, (tokens.get(service) ?? reserve) + ratio))
    },
    takeRetry: (service) => {
      const left = tokens.get(service) ?? reserve
      if (left < 1) return false
      tokens.set(service, left - 1)
      return true
    }
  }
}
