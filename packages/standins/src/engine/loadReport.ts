/** The load report of the engine stand-in, which lags. */
import type { Clock } from 'pimentoplank/shared'

export interface LoadReport {
  /** Wall clock time of the sample, in milliseconds since the epoch. */
  sampledAt: number
  slots: number
  running: number
  waiting: number
  /** Prompt prefixes in the cache. */
  cachedPrefixes: number
}

export interface LoadReporter {
  note: (sample: Omit<LoadReport, 'sampledAt'>) => void
  /** The load as it was `lagMs` ago. */
  read: (lagMs: number) => LoadReport
}

interface Sample extends LoadReport {
  at: number
}

/** Samples closer than this replace each other, in milliseconds. */
const RESOLUTION_MS = 20
const MAX_SAMPLES = 1000

/** Creates a reporter; until the first sample is old enough it reports an idle engine. */
export function createLoadReporter (clock: Clock, slots: number): LoadReporter {
  const idle = { slots, running: 0, waiting: 0, cachedPrefixes: 0 }
  let samples: Sample[] = [{ ...idle, at: Number.NEGATIVE_INFINITY, sampledAt: clock.wallTime() }]

  function note (load: Omit<LoadReport, 'sampledAt'>): void {
    const sample = { ...load, at: clock.now(), sampledAt: clock.wallTime() }
    const beforeLast = samples.at(-2)
    if (beforeLast !== undefined && sample.at - beforeLast.at < RESOLUTION_MS) samples[samples.length - 1] = sample
    else samples.push(sample)
    if (samples.length > 2 * MAX_SAMPLES) samples = samples.slice(-MAX_SAMPLES)
  }

  function read (lagMs: number): LoadReport {
    const asOf = clock.now() - lagMs
    const { at, ...report } = samples.findLast((sample) => sample.at <= asOf) ?? samples[0]!
    return report
  }

  return { note, read }
}
