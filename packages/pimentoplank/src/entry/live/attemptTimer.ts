/** Times the tokens of one attempt. */
import type { Clock, Metrics, SlotReport } from '../../shared'

export interface AttemptTimer {
  noteToken: () => void
  /** Timings for the home of the target. */
  report: () => Pick<SlotReport, 'firstTokenMs' | 'tokenGapMs' | 'tokens'>
}

/**
 * Starts timing.
 *
 * @param isFirst - true when the caller has no token yet, so that the first one counts as its first token
 */
export function createAttemptTimer (clock: Clock, metrics: Metrics, isFirst: boolean): AttemptTimer {
  const startedAt = clock.now()
  let firstAt: number | undefined
  let lastAt = startedAt
  let tokens = 0

  return {
    noteToken: () => {
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
    report: () => ({
      firstTokenMs: firstAt === undefined || !isFirst ? undefined : firstAt - startedAt,
      tokenGapMs: tokens < 2 || firstAt === undefined ? undefined : (lastAt - firstAt) / (tokens - 1),
      tokens
    })
  }
}
