/** Collects statistics of live responses as callers observed them. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LiveResponse } from '../caller'

/** Histograms count in microseconds. */
const US_PER_MS = 1000

export interface LiveStatistics {
  record: (response: LiveResponse) => void
  countResponses: () => number
  countComplete: () => number
  /** Returns the number of refused and incomplete responses, by reason. */
  getFailures: () => ReadonlyMap<string, number>
  /** Returns a percentile of the time to first token, in milliseconds. */
  getFirstTokenMs: (percentile: number) => number
  /** Returns a percentile of the time between tokens, in milliseconds. */
  getTokenGapMs: (percentile: number) => number
}

/** Creates empty statistics. */
export function createLiveStatistics (): LiveStatistics {
  const firstToken = build()
  const tokenGap = build()
  const failures = new Map<string, number>()
  let responseCount = 0
  let completeCount = 0

  function recordResponse (response: LiveResponse): void {
    responseCount++
    if (response.isComplete) completeCount++
    else countFailure(response.reason ?? response.failure ?? 'cut')
    if (response.firstTokenMs !== undefined) recordMs(firstToken, response.firstTokenMs)
    for (const gap of response.tokenGapsMs) recordMs(tokenGap, gap)
  }

  function countFailure (reason: string): void {
    failures.set(reason, (failures.get(reason) ?? 0) + 1)
  }

  return {
    record: recordResponse,
    countResponses: () => responseCount,
    countComplete: () => completeCount,
    getFailures: () => failures,
    getFirstTokenMs: (percentile) => firstToken.getValueAtPercentile(percentile) / US_PER_MS,
    getTokenGapMs: (percentile) => tokenGap.getValueAtPercentile(percentile) / US_PER_MS
  }
}

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(ms * US_PER_MS))
}
