/** Measures the token timings of one attempt. */
import type { Clock, Metrics, SlotReport } from '../../shared'

export interface AttemptTimer {
  recordToken: () => void
  /** Returns the timings for the scheduler of the target's slots. */
  getReport: () => Pick<SlotReport, 'firstTokenMs' | 'tokenGapMs' | 'tokens'>
}

/**
 * Creates a timer that starts at once.
 *
 * @param isFirst - true when the caller has received no token yet, so that the first token of the attempt is the
 *   first of the request
 */
export function createAttemptTimer (clock: Clock, metrics: Metrics, isFirst: boolean): AttemptTimer {
  const startedAt = clock.now()
  let firstAt: number | undefined
  let lastAt = startedAt
  let tokens = 0

  return {
    recordToken: () => {
      const now = clock.now()
      if (firstAt === undefined) {
        firstAt = now
        if (isFirst) metrics.timing('live.firstToken', now - startedAt)
      } else {
        metrics.timing('live.tokenGap', now - lastAt)
      }
      lastAt = now
      tokens += 1
    },
    getReport: () => ({
      firstTokenMs: firstAt === undefined || !isFirst ? undefined : firstAt - startedAt,
      tokenGapMs: tokens < 2 || firstAt === undefined ? undefined : (lastAt - firstAt) / (tokens - 1),
      tokens
    })
  }
}
