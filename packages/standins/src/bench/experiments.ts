/** Builds the loads of the comparisons. */
import { experiment as experimentSchema, type Experiment } from '../load'
import { ACCOUNT_COUNT, BATCH_KEY, KEY_PREFIX, MODEL } from './benchPlan'

/** Steady phases, bursts and idle gaps, in milliseconds. */
const BURSTY_PHASES = [{ ms: 1500, factor: 1 }, { ms: 400, factor: 2.5 }, { ms: 1000, factor: 0 }]

export interface ExperimentOptions {
  name: string
  seed: number
  durationMs: number
  /** Live requests per second in a phase of factor 1; no live load when absent. */
  ratePerSecond?: number
  /** Whether the rate alternates between phases; true when absent. */
  isBursty?: boolean
  live?: object
  /** Items of the batch job; no batch load when absent. */
  batchItems?: number
  batch?: object
}

const WARMUP_MS = 1000

/** Builds an experiment with the model and accounts of the benchmark. */
export function createExperiment (options: ExperimentOptions): Experiment {
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
