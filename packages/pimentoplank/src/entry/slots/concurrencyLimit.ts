/** Adaptive concurrency limit of a target, adjusted from the measured latencies of its requests. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LimitWay, SlotSchedulerSettings } from '../../shared'

/** Latency percentile that is compared with the goal. */
const PERCENTILE = 95
const US_PER_MS = 1000
const AIMD_DECREASE = 0.8
const AIMD_INCREASE = 1
const GRADIENT_MIN = 0.5
const GRADIENT_MAX = 1.2
const GRADIENT_SMOOTHING = 0.5

export interface LimitGoals {
  slotsPerTarget: number
  firstTokenGoalMs: number
  tokenGapGoalMs: number
}

/** Summary of one window of reports. */
export interface LimitSample {
  limit: number
  /** Measured latency divided by its goal; the larger value of first token and token gap. */
  pressure: number
  /** True when so much work ran that the limit was, or nearly was, the constraint. */
  busy: boolean
}

/** Computes the next limit, before clamping, for each algorithm. */
export const LIMIT_STEPS: Record<LimitWay, (sample: LimitSample) => number> = {
  fixed: ({ limit }) => limit,
  aimd: ({ limit, pressure, busy }) => {
    if (pressure > 1) return limit * AIMD_DECREASE
    return busy ? limit + AIMD_INCREASE : limit
  },
  gradient: ({ limit, pressure, busy }) => {
    const gradient = Math.min(GRADIENT_MAX, Math.max(GRADIENT_MIN, 1 / pressure))
    if (gradient > 1 && !busy) return limit
    return limit * (1 - GRADIENT_SMOOTHING) + limit * gradient * GRADIENT_SMOOTHING
  }
}

export interface ConcurrencyLimit {
  /** Returns the number of requests that may run at once, an integer of at least 1. */
  current: () => number
  /** Records the latencies of one request, in milliseconds; 0 for one that was not measured. */
  report: (times: { firstTokenMs: number, tokenGapMs: number }) => void
  /** Records how many requests run, to detect whether the limit constrains the work. */
  recordInUse: (inUse: number) => void
}

/** Creates the limit of one target, which starts at `slotsPerTarget`. */
export function createConcurrencyLimit (
  settings: Pick<SlotSchedulerSettings, 'limit' | 'limitWindow' | 'maxLimitFactor'>,
  goals: () => LimitGoals
): ConcurrencyLimit {
  const firstTokens = createHistogram()
  const tokenGaps = createHistogram()
  let limit = goals().slotsPerTarget
  let reports = 0
  let peakInUse = 0

  function adjust (): void {
    const { slotsPerTarget, firstTokenGoalMs, tokenGapGoalMs } = goals()
    const pressure = Math.max(
      getPercentileMs(firstTokens) / firstTokenGoalMs,
      getPercentileMs(tokenGaps) / tokenGapGoalMs
    )
    const next = LIMIT_STEPS[settings.limit]({ limit, pressure, busy: peakInUse >= Math.floor(limit) - 1 })
    limit = Math.min(slotsPerTarget * settings.maxLimitFactor, Math.max(1, next))
    firstTokens.reset()
    tokenGaps.reset()
    reports = 0
    peakInUse = 0
  }

  return {
    current: () => Math.max(1, Math.floor(limit)),
    report: ({ firstTokenMs, tokenGapMs }) => {
      if (firstTokenMs === 0 && tokenGapMs === 0) return
      if (firstTokenMs > 0) firstTokens.recordValue(Math.round(firstTokenMs * US_PER_MS))
      if (tokenGapMs > 0) tokenGaps.recordValue(Math.round(tokenGapMs * US_PER_MS))
      reports += 1
      if (reports >= settings.limitWindow) adjust()
    },
    recordInUse: (inUse) => { peakInUse = Math.max(peakInUse, inUse) }
  }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2, autoResize: true, useWebAssembly: false })
}

function getPercentileMs (histogram: Histogram): number {
  return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(PERCENTILE) / US_PER_MS
}
