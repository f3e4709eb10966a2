/** Collects what live callers saw: histograms from the intended send time, and a series by second. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LiveAnswer } from '../caller'
import type { FailedRequest, LiveResult, Percentiles, SeriesPoint } from './result'

const MS_PER_SECOND = 1000
/** Histograms count in microseconds. */
const US_PER_MS = 1000
const HTTP_OK = 200
const MAX_FAILURES = 5000

export interface SentRequest {
  /** Intended send time, from the start of the experiment. */
  intendedAtMs: number
  /** How much later it was sent. */
  sendDelayMs: number
  /** Answer that a whole one must have. */
  expected: string
}

export interface LiveRecorder {
  note: (sent: SentRequest, answer: LiveAnswer) => void
  result: () => LiveResult
}

/**
 * Creates a recorder.
 *
 * @param warmupMs - requests intended before this time are left out
 */
export function createLiveRecorder (warmupMs: number): LiveRecorder {
  const firstToken = build()
  const tokenGap = build()
  const total = build()
  const refusal = build()
  const series = new Map<number, SeriesPoint>()
  const refusals: Record<string, number> = {}
  const failures: FailedRequest[] = []
  let sent = 0
  let whole = 0
  let wrong = 0
  let usefulTokens = 0

  function note (req: SentRequest, answer: LiveAnswer): void {
    const point = pointAt(req.intendedAtMs)
    point.sent += 1
    if (answer.whole) {
      point.whole += 1
      point.tokens += answer.tokens
    }
    if (answer.firstTokenMs !== undefined) {
      point.maxFirstTokenMs = Math.max(point.maxFirstTokenMs, answer.firstTokenMs + req.sendDelayMs)
    }
    if (req.intendedAtMs >= warmupMs) count(req, answer)
  }

  function count (req: SentRequest, answer: LiveAnswer): void {
    sent += 1
    if (answer.whole) noteWhole(req, answer)
    else noteRefusal(req, answer)
    if (answer.firstTokenMs !== undefined) record(firstToken, answer.firstTokenMs + req.sendDelayMs)
    for (const gap of answer.tokenGapsMs) record(tokenGap, gap)
  }

  function noteWhole (req: SentRequest, answer: LiveAnswer): void {
    whole += 1
    usefulTokens += answer.tokens
    if (answer.text !== req.expected) wrong += 1
    record(total, answer.totalMs + req.sendDelayMs)
  }

  function noteRefusal (req: SentRequest, answer: LiveAnswer): void {
    const reason = answer.reason ?? answer.failure ?? 'cut'
    refusals[reason] = (refusals[reason] ?? 0) + 1
    const endedAtMs = req.intendedAtMs + req.sendDelayMs + answer.totalMs
    if (failures.length < MAX_FAILURES) failures.push({ intendedAtMs: req.intendedAtMs, endedAtMs, reason })
    if (answer.status !== 0 && answer.status !== HTTP_OK) record(refusal, answer.totalMs + req.sendDelayMs)
  }

  function pointAt (ms: number): SeriesPoint {
    const second = Math.floor(ms / MS_PER_SECOND)
    const known = series.get(second)
    if (known !== undefined) return known
    const created: SeriesPoint = { second, sent: 0, whole: 0, tokens: 0, maxFirstTokenMs: 0 }
    series.set(second, created)
    return created
  }

  return {
    note,
    result: () => ({
      sent,
      whole,
      wrong,
      usefulTokens,
      refusals,
      firstTokenMs: percentiles(firstToken),
      tokenGapMs: percentiles(tokenGap),
      totalMs: percentiles(total),
      refusalMs: percentiles(refusal),
      series: [...series.values()].sort((a, b) => a.second - b.second),
      failures
    })
  }
}

function record (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * US_PER_MS)))
}

function percentiles (histogram: Histogram): Percentiles {
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / US_PER_MS
  return {
    count: histogram.totalCount,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    p999: at(99.9),
    max: histogram.maxValue / US_PER_MS
  }
}
