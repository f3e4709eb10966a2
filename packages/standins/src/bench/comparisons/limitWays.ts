/** Algorithms that adapt the concurrency limit of a target to its measured latency, under live and batch load. */
import { LIMIT_WAYS } from 'pimentoplank/shared'
import type { Comparison } from '../comparison'
import { createExperiment } from '../experiments'
import { batchRate, firstTokenP50, firstTokenP99, incompleteShare, idleSlotUtilization, tokenGapP99 } from '../metrics'
import { createSlotSchedulerSettings } from '../policies'
import type { ComparisonScale } from '.'

const LIVE_RATE = 30
const ITEMS_PER_SECOND = 75

/** Compares all limit algorithms under the same live and batch load. */
export function limitWays ({ durationMs }: ComparisonScale): Comparison {
  const name = 'limit-ways'
  const batchItems = Math.round(ITEMS_PER_SECOND * durationMs / 1000)
  return {
    name,
    title: 'Ways to limit the work of a target, with batch work beside live load',
    sides: LIMIT_WAYS.map((way) => ({
      name: way,
      plan: { settings: createSlotSchedulerSettings({ limit: way }) },
      experiment: (seed) => createExperiment({ name, seed, durationMs, ratePerSecond: LIVE_RATE, batchItems })
    })),
    metrics: [firstTokenP50, firstTokenP99, tokenGapP99, batchRate, idleSlotUtilization, incompleteShare],
    goals: []
  }
}
