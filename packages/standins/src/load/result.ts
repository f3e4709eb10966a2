/** What an experiment found, as written to its result file. */
import type { Experiment } from './experiment'

/** Percentiles of a time, in milliseconds. */
export interface Percentiles {
  count: number
  p50: number
  p90: number
  p99: number
  p999: number
  max: number
}

/** Requests by the second in which they were to be sent. */
export interface SeriesPoint {
  second: number
  sent: number
  whole: number
  /** Tokens of whole answers. */
  tokens: number
  maxFirstTokenMs: number
}

/** A request that got no whole answer. Times are in milliseconds from the start of the experiment. */
export interface FailedRequest {
  intendedAtMs: number
  endedAtMs: number
  reason: string
}

export interface LiveResult {
  sent: number
  whole: number
  /** Whole answers with another text than the request must get. */
  wrong: number
  /** Tokens of whole answers. */
  usefulTokens: number
  /** Answers that were not whole, by reason. */
  refusals: Record<string, number>
  /** From the intended send time. */
  firstTokenMs: Percentiles
  tokenGapMs: Percentiles
  /** From the intended send time to the end of a whole answer. */
  totalMs: Percentiles
  /** From the intended send time to the answer of a refused request. */
  refusalMs: Percentiles
  series: SeriesPoint[]
  /** The first requests without a whole answer. */
  failures: FailedRequest[]
}

export interface ProgressPoint {
  /** From the start of the experiment. */
  atMs: number
  /** Items with a result, of all jobs. */
  finished: number
}

export interface JobOutcome {
  id: string
  state: string
  items: number
  done: number
  failed: number
  unknown: number
  /** Ids without a result. */
  lost: number
  /** Ids with more than one result. */
  doubled: number
  /** From the submission until the job was seen to be finished. */
  durationMs: number
}

export interface BatchOutcome {
  jobs: JobOutcome[]
  /** Items with a result a second, from the first submission to the end of the last job. */
  itemsPerSecond: number
  progress: ProgressPoint[]
}

export interface ExperimentResult {
  experiment: Experiment
  /** Commit of the working tree, when it is known. */
  commit?: string
  /** Wall clock time, ISO 8601. */
  startedAt: string
  live?: LiveResult
  batch?: BatchOutcome
}
