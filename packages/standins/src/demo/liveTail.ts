/** Collects what live callers saw. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LiveAnswer } from '../caller'

/** Histograms count in microseconds. */
const US_PER_MS = 1000

export interface LiveTail {
  note: (answer: LiveAnswer) => void
  answers: () => number
  whole: () => number
  /** Answers that were not whole, by reason. */
  refusals: () => ReadonlyMap<string, number>
  /** Percentile of the time to first token, in milliseconds. */
  firstTokenMs: (percentile: number) => number
  /** Percentile of the time between tokens, in milliseconds. */
  tokenGapMs: (percentile: number) => number
}

/** Creates an empty collection. */
export function createLiveTail (): LiveTail {
  const firstToken = build()
  const tokenGap = build()
  const refusals = new Map<string, number>()
  let answers = 0
  let whole = 0

  function note (answer: LiveAnswer): void {
    answers++
    if (answer.whole) whole++
    else countRefusal(answer.reason ?? answer.failure ?? 'cut')
    if (answer.firstTokenMs !== undefined) record(firstToken, answer.firstTokenMs)
    for (const gap of answer.tokenGapsMs) record(tokenGap, gap)
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
