/** Collects statistics of live responses as callers observed them. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LiveAnswer } from '../caller'

/** Histograms count in microseconds. */
const US_PER_MS = 1000

export interface LiveTail {
  note: (response: LiveAnswer) => void
  answers: () => number
  whole: () => number
  /** Returns the number of refused and incomplete responses, by reason. */
  refusals: () => ReadonlyMap<string, number>
  /** Returns a percentile of the time to first token, in milliseconds. */
  firstTokenMs: (percentile: number) => number
  /** Returns a percentile of the time between tokens, in milliseconds. */
  tokenGapMs: (percentile: number) => number
}

/** Creates empty statistics. */
export function createLiveTail (): LiveTail {
  const firstToken = build()
  const tokenGap = build()
  const refusals = new Map<string, number>()
  let answers = 0
  let whole = 0

  function note (response: LiveAnswer): void {
    answers++
    if (response.whole) whole++
    else countRefusal(response.reason ?? response.failure ?? 'cut')
    if (response.firstTokenMs !== undefined) record(firstToken, response.firstTokenMs)
    for (const gap of response.tokenGapsMs) record(tokenGap, gap)
  }

  function countRefusal (reason: string): void {
    refusals.set(reason, (refusals.get(reason) ?? 0) + 1)
  }

  return {
    note,
    answers: () => answers,
    whole: () => whole,
    refusals: () => refusals,
    firstTokenMs: (percentile) => firstToken.getValueAtPercentile(percentile) / US_PER_MS,
    tokenGapMs: (percentile) => tokenGap.getValueAtPercentile(percentile) / US_PER_MS
  }
}

function record (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(ms * US_PER_MS))
}
