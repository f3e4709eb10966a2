/** Load report of the engine stand-in, published with a delay. */
import type { Clock } from 'pimentoplank/shared'

export interface LoadReport {
  /** Wall clock time of the sample, in milliseconds since the epoch. */
  sampledAt: number
  slots: number
  running: number
  waiting: number
  /** Number of prompt prefixes in the cache. */
  cachedPrefixes: number
}

export interface LoadReporter {
  record: (sample: Omit<LoadReport, 'sampledAt'>) => void
  /** Returns the load as it was `lagMs` milliseconds ago. */
  getReport: (lagMs: number) => LoadReport
}

interface Sample extends LoadReport {
  at: number
}

/** Minimum distance between samples, in milliseconds; a closer one replaces the last. */
const RESOLUTION_MS = 20
const MAX_SAMPLES = 1000

/** Creates a reporter, which reports an idle engine until the first sample is old enough. */
export function createLoadReporter (clock: Clock, slots: number): LoadReporter {
  const idle = { slots, running: 0, waiting: 0, cachedPrefixes: 0 }
  let samples: Sample[] = [{ ...idle, at: Number.NEGATIVE_INFINITY, sampledAt: clock.wallTime() }]

  function recordSample (load: Omit<LoadReport, 'sampledAt'>): void {
    const sample = { ...load, at: clock.now(), sampledAt: clock.wallTime() }
    const beforeLast = samples.at(-2)
    if (beforeLast !== undefined && sample.at - beforeLast.at < RESOLUTION_MS) samples[samples.length - 1] = sample
    else samples.push(sample)
    if (samples.length > 2 * MAX_SAMPLES) samples = samples.slice(-MAX_SAMPLES)
  }

  function readReport (lagMs: number): LoadReport {
    const asOf = clock.now() - lagMs
    const { at, ...report } = samples.findLast((sample) => sample.at <= asOf) ?? samples[0]!
    return report
  }

  return { record: recordSample, getReport: readReport }
}
