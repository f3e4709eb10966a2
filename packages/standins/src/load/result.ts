/** Result of an experiment, as written to its result file. */
import type { Experiment } from './experiment'

/** Percentiles of a duration, in milliseconds. */
export interface Percentiles {
  count: number
  p50: number
  p90: number
  p99: number
  p999: number
  max: number
}

/** Requests whose intended send time falls in one second. */
export interface SeriesPoint {
  second: number
  sent: number
  whole: number
  /** Tokens of complete responses. */
  tokens: number
  maxFirstTokenMs: number
}

/** A request without a complete response. Times are in milliseconds from the start of the experiment. */
export interface FailedRequest {
  intendedAtMs: number
  endedAtMs: number
  reason: string
}

export interface LiveResult {
  sent: number
  whole: number
  /** Complete responses whose text is not the expected one. */
  wrong: number
  /** Tokens of complete responses. */
  usefulTokens: number
  /** Refused and incomplete responses, by reason. */
  refusals: Record<string, number>
  /** From the intended send time. */
  firstTokenMs: Percentiles
  tokenGapMs: Percentiles
  /** From the intended send time to the end of a complete response. */
  totalMs: Percentiles
  /** From the intended send time to the end of a refusal. */
  refusalMs: Percentiles
  series: SeriesPoint[]
  /** Requests without a complete response; only the first 5000. */
  failures: FailedRequest[]
}

export interface ProgressPoint {
  /** From the start of the experiment. */
  atMs: number
  /** Items with a result, over all jobs. */
  finished: number
}

export interface JobOutcome {
  id: string
  state: string
  items: number
  done: number
  failed: number
  unknown: number
  /** Items without a result. */
  lost: number
  /** Items with more than one result. */
  doubled: number
  /** From the submission until a poll found the job ended. */
  durationMs: number
}

export interface BatchOutcome {
  jobs: JobOutcome[]
  /** Items with a result per second, from the first submission to the end of the last job. */
  itemsPerSecond: number
  progress: ProgressPoint[]
}

export interface ExperimentResult {
  experiment: Experiment
  /** Commit of the working tree, if known. */
  commit?: string
  /** Wall clock time, ISO 8601. */
  startedAt: string
  live?: LiveResult
  batch?: BatchOutcome
}
