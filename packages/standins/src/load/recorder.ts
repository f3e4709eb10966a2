/** Records live responses in latency histograms, counted from the intended send time, and in a series by second. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LiveResponse } from '../caller'
import type { FailedRequest, LiveResult, Percentiles, SeriesPoint } from './result'

const MS_PER_SECOND = 1000
/** Histograms count in microseconds. */
const US_PER_MS = 1000
const HTTP_OK = 200
const MAX_FAILURES = 5000

export interface SentRequest {
  /** Intended send time, from the start of the experiment. */
  intendedAtMs: number
  /** How much later than intended it was sent. */
  sendDelayMs: number
  /** Text that a complete response must have. */
  expected: string
}

export interface LiveRecorder {
  record: (sent: SentRequest, answer: LiveResponse) => void
  getResult: () => LiveResult
}

/**
 * Creates a recorder of live responses.
 *
 * @param warmupMs - requests intended before this time count in the series only
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
  let complete = 0
  let wrong = 0
  let usefulTokens = 0

  function recordResponse (req: SentRequest, response: LiveResponse): void {
    const point = getSeriesPoint(req.intendedAtMs)
    point.sent += 1
    if (response.isComplete) {
      point.whole += 1
      point.tokens += response.tokens
    }
    if (response.firstTokenMs !== undefined) {
      point.maxFirstTokenMs = Math.max(point.maxFirstTokenMs, response.firstTokenMs + req.sendDelayMs)
    }
    if (req.intendedAtMs >= warmupMs) countOutcome(req, response)
  }

  function countOutcome (req: SentRequest, response: LiveResponse): void {
    sent += 1
    if (response.isComplete) countComplete(req, response)
    else countFailure(req, response)
    if (response.firstTokenMs !== undefined) recordMs(firstToken, response.firstTokenMs + req.sendDelayMs)
    for (const gap of response.tokenGapsMs) recordMs(tokenGap, gap)
  }

  function countComplete (req: SentRequest, response: LiveResponse): void {
    complete += 1
    usefulTokens += response.tokens
    if (response.text !== req.expected) wrong += 1
    recordMs(total, response.totalMs + req.sendDelayMs)
  }

  function countFailure (req: SentRequest, response: LiveResponse): void {
    const reason = response.reason ?? response.failure ?? 'cut'
    refusals[reason] = (refusals[reason] ?? 0) + 1
    const endedAtMs = req.intendedAtMs + req.sendDelayMs + response.totalMs
    if (failures.length < MAX_FAILURES) failures.push({ intendedAtMs: req.intendedAtMs, endedAtMs, reason })
    if (response.status !== 0 && response.status !== HTTP_OK) recordMs(refusal, response.totalMs + req.sendDelayMs)
  }

  function getSeriesPoint (ms: number): SeriesPoint {
    const second = Math.floor(ms / MS_PER_SECOND)
    const known = series.get(second)
    if (known !== undefined) return known
    const created: SeriesPoint = { second, sent: 0, whole: 0, tokens: 0, maxFirstTokenMs: 0 }
    series.set(second, created)
    return created
  }

  return {
    record: recordResponse,
    getResult: () => ({
      sent,
      whole: complete,
      wrong,
      usefulTokens,
      refusals,
      firstTokenMs: computePercentiles(firstToken),
      tokenGapMs: computePercentiles(tokenGap),
      totalMs: computePercentiles(total),
      refusalMs: computePercentiles(refusal),
      series: [...series.values()].sort((a, b) => a.second - b.second),
      failures
    })
  }
}

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * US_PER_MS)))
}

function computePercentiles (histogram: Histogram): Percentiles {
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
