/** Metrics that comparisons compute from a run. */
import { MIB_BYTES, SECOND_MS } from 'pimentoplank/shared'
import type { Percentiles } from '../load'
import type { MeasuredRun } from './benchDeployment'
import { resolvePace } from './benchPlan'
import type { Metric, Side } from './comparison'

const CHARS_PER_TOKEN = 4

function createPercentileMetric (name: string, getPercentiles: (run: MeasuredRun) => Percentiles | undefined, key: 'p50' | 'p99'): Metric {
  return {
    name,
    unit: 'ms',
    better: 'lower',
    compute: (run) => {
      const found = getPercentiles(run)
      return found === undefined || found.count === 0 ? undefined : found[key]
    }
  }
}

export const firstTokenP50 = createPercentileMetric('first token p50', (run) => run.result.live?.firstTokenMs, 'p50')
export const firstTokenP99 = createPercentileMetric('first token p99', (run) => run.result.live?.firstTokenMs, 'p99')
export const tokenGapP99 = createPercentileMetric('token gap p99', (run) => run.result.live?.tokenGapMs, 'p99')
export const refusalP99 = createPercentileMetric('refusal p99', (run) => run.result.live?.refusalMs, 'p99')

/** Batch items with a committed result per second while live requests are sent. */
export const batchRate: Metric = {
  name: 'batch items',
  unit: '1/s',
  better: 'higher',
  compute: computeBatchRate
}

/** Batch items per second from the submission to the end of the last job. */
export const overallJobRate: Metric = {
  name: 'batch items, whole job',
  unit: '1/s',
  better: 'higher',
  compute: (run) => run.result.batch?.itemsPerSecond
}

function computeBatchRate (run: MeasuredRun): number | undefined {
  const { batch, experiment } = run.result
  const points = batch?.progress.filter(({ atMs }) => atMs <= experiment.durationMs) ?? []
  if (batch === undefined || points.length === 0) return undefined
  // From the first committed results to the last: excludes the start of the job and polls after its end.
  const first = points.find(({ finished }) => finished > 0)
  const last = points.find(({ finished }) => finished === points.at(-1)!.finished)
  if (first === undefined || last === undefined || last.atMs === first.atMs) return undefined
  return (last.finished - first.finished) * SECOND_MS / (last.atMs - first.atMs)
}

export const usefulTokens: Metric = {
  name: 'useful tokens',
  unit: '1/s',
  better: 'higher',
  compute: (run) => {
    const { live, experiment } = run.result
    if (live === undefined) return undefined
    return live.usefulTokens * SECOND_MS / (experiment.durationMs - experiment.warmupMs)
  }
}

export const incompleteShare: Metric = {
  name: 'not whole',
  unit: '%',
  better: 'lower',
  compute: (run) => {
    const { live } = run.result
    return live === undefined ? undefined : 100 * (live.sent - live.whole) / live.sent
  }
}

export const wrongResponses: Metric = {
  name: 'wrong answers',
  unit: '',
  better: 'lower',
  compute: (run) => run.result.live?.wrong
}

export const lostOrDuplicated: Metric = {
  name: 'items lost or doubled',
  unit: '',
  better: 'lower',
  compute: (run) => run.result.batch?.jobs.reduce((sum, job) => sum + job.lost + job.doubled, 0)
}

/** Average CPU usage of an entry process, as a share of one core. */
export const entryCoreShare: Metric = {
  name: 'core share of an entry',
  unit: '%',
  better: 'lower',
  compute: (run) => {
    const entries = Object.entries(run.usage).filter(([id]) => id.startsWith('entry-'))
    if (entries.length === 0) return undefined
    const cpuMs = entries.reduce((sum, [, usage]) => sum + usage.cpuMs, 0)
    return 100 * cpuMs / entries.length / run.elapsedMs
  }
}

export const entryMemory: Metric = {
  name: 'peak memory of an entry',
  unit: 'MiB',
  better: 'lower',
  compute: (run) => {
    const entries = Object.entries(run.usage).filter(([id]) => id.startsWith('entry-'))
    if (entries.length === 0) return undefined
    return Math.max(...entries.map(([, usage]) => usage.peakResidentBytes)) / MIB_BYTES
  }
}

/** Platform calls per second, over all processes; each watch counts as a call. */
export const platformCalls: Metric = {
  name: 'platform calls',
  unit: '1/s',
  better: 'lower',
  compute: (run) => {
    const counts = Object.values(run.platform.calls).flatMap((operations) => Object.values(operations))
    return counts.reduce((sum, count) => sum + count, 0) * SECOND_MS / run.elapsedMs
  }
}

/**
 * Creates a metric: seconds from a disturbance to the end of the last failed live request; 0 when none failed.
 *
 * @param atMs - time of the disturbance, from the start of the experiment
 */
export function createRecoveryMetric (atMs: number): Metric {
  return {
    name: 'live errors end after',
    unit: 's',
    better: 'lower',
    compute: (run) => {
      const { live } = run.result
      if (live === undefined) return undefined
      const ends = live.failures.filter((failure) => failure.endedAtMs >= atMs).map((failure) => failure.endedAtMs)
      return ends.length === 0 ? 0 : (Math.max(...ends) - atMs) / SECOND_MS
    }
  }
}

/**
 * Batch items per second as a share of the most that the idle slots allow. The maximum is computed from the engine
 * configuration: slots not used by live responses, divided by the time that an item holds a slot at full load.
 */
export const idleSlotUtilization: Metric = {
  name: 'share of idle best',
  unit: '%',
  better: 'higher',
  compute: (run, side) => {
    const rate = computeBatchRate(run)
    return rate === undefined ? undefined : 100 * rate / computeMaxBatchRate(run, side)
  }
}

/** Computes the most batch items per second that the idle slots allow. */
export function computeMaxBatchRate (run: MeasuredRun, side: Side): number {
  const pace = resolvePace(side.plan)
  const { experiment, live } = run.result
  const stepMs = pace.tokenMs + pace.tokenSlopeMs * (pace.slots - 1)
  const computeSlotMs = (answers: number, tokens: number, promptChars: number): number =>
    answers * (pace.firstTokenMs + promptChars / CHARS_PER_TOKEN * pace.prefillTokenMs) + tokens * stepMs
  // Shared prefixes are assumed to be cached, so the result is an upper bound.
  const liveSlotMs = live === undefined ? 0 : computeSlotMs(live.whole, live.usefulTokens, experiment.live!.promptChars)
  const idleSlots = pace.engines * pace.slots - liveSlotMs / (experiment.durationMs - experiment.warmupMs)
  return idleSlots * SECOND_MS / computeSlotMs(1, experiment.batch!.maxTokens, 0)
}
