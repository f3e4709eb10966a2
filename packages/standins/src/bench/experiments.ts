/** Loads that the comparisons share. */
import { experiment as experimentSchema, type Experiment } from '../load'
import { ACCOUNT_COUNT, BATCH_KEY, KEY_PREFIX, MODEL } from './benchPlan'

/** Busy stretches, bursts and idle gaps of seconds. */
const BURSTY_PHASES = [{ ms: 1500, factor: 1 }, { ms: 400, factor: 2.5 }, { ms: 1000, factor: 0 }]

export interface LoadOptions {
  name: string
  seed: number
  durationMs: number
  /** Live requests a second in a phase of factor 1; none when absent. */
  ratePerSecond?: number
  /** False for a steady rate. */
  isBursty?: boolean
  live?: object
  /** Items of one batch job beside the live load; none when absent. */
  batchItems?: number
  batch?: object
}

const WARMUP_MS = 1000

/** Builds an experiment. */
export function createLoad (options: LoadOptions): Experiment {
  const { name, seed, durationMs, ratePerSecond, batchItems } = options
  const phases = options.isBursty === false ? [] : BURSTY_PHASES
  return experimentSchema.parse({
    name,
    seed,
    model: MODEL,
    durationMs,
    warmupMs: WARMUP_MS,
    accounts: { count: ACCOUNT_COUNT, keyPrefix: KEY_PREFIX, skew: 1 },
    batchKey: BATCH_KEY,
    live: ratePerSecond === undefined
      ? undefined
      : { ratePerSecond, phases, minTokens: 8, maxTokens: 24, timeoutMs: 10_000, ...options.live },
    batch: batchItems === undefined
      ? undefined
      : { itemsPerJob: batchItems, maxTokens: 16, limitMs: 60_000, pollMs: 200, ...options.batch }
  })
}
