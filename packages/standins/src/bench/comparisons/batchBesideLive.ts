/** Effect of batch work on live tail latency, and the share of idle slots that batch work uses. */
import { findSummary, type Comparison, type ComparisonOutcome } from '../comparison'
import { createExperiment } from '../experiments'
import {
  batchRate, entryCoreShare, firstTokenP50, firstTokenP99, lostOrDuplicated, incompleteShare, platformCalls,
  idleSlotUtilization, tokenGapP99, wrongResponses
} from '../metrics'
import { createBaseSettings } from '../policies'
import type { ComparisonScale } from '.'

const LIVE_RATE = 30
/** Exceeds the capacity of the idle slots while live requests are sent. */
const ITEMS_PER_SECOND = 75
const MAX_TAIL_RATIO = 1.05
const MIN_IDLE_SHARE = 90
const ALONE = 'live alone'
const BESIDE = 'live beside batch'
const BATCH_ONLY = 'batch alone'

/** Compares live load alone, live load with a concurrent batch job, and the batch job alone. */
export function batchBesideLive ({ durationMs }: ComparisonScale): Comparison {
  const plan = { settings: createBaseSettings() }
  const batchItems = Math.round(ITEMS_PER_SECOND * durationMs / 1000)
  const name = 'batch-beside-live'
  return {
    name,
    title: 'Live tail with and without batch work beside it',
    sides: [
      {
        name: ALONE,
        plan,
        experiment: (seed) => createExperiment({ name, seed, durationMs, ratePerSecond: LIVE_RATE })
      },
      {
        name: BESIDE,
        plan,
        experiment: (seed) => createExperiment({
          name, seed, durationMs, ratePerSecond: LIVE_RATE, batchItems, batch: { neverCompleting: 3 }
        })
      },
      { name: BATCH_ONLY, plan, experiment: (seed) => createExperiment({ name, seed, durationMs, batchItems }) }
    ],
    metrics: [
      firstTokenP50, firstTokenP99, tokenGapP99, batchRate, idleSlotUtilization, incompleteShare, wrongResponses,
      lostOrDuplicated, entryCoreShare, platformCalls
    ],
    goals: [
      createTailGoal(firstTokenP99.name, 'Live 99th percentile of first token at most 5% above live alone'),
      createTailGoal(tokenGapP99.name, 'Live 99th percentile of token gap at most 5% above live alone'),
      {
        text: 'At least 90% of idle slots\' best batch throughput beside live load',
        isMet: (outcome) => isAtLeast(outcome, BESIDE, idleSlotUtilization.name, MIN_IDLE_SHARE)
      },
      {
        text: 'No batch item lost or doubled',
        isMet: (outcome) => isAtMost(outcome, BESIDE, lostOrDuplicated.name, 0)
      }
    ]
  }
}

function createTailGoal (metric: string, text: string): Comparison['goals'][number] {
  return {
    text,
    isMet: (outcome) => {
      const ratio = findSummary(outcome, BESIDE, metric)?.ratio
      return ratio === undefined ? undefined : ratio.median <= MAX_TAIL_RATIO
    }
  }
}

/** Returns whether the median of a metric is at least `least`; undefined when it was not measured. */
export function isAtLeast (
  outcome: ComparisonOutcome,
  side: string,
  metric: string,
  least: number
): boolean | undefined {
  const value = findSummary(outcome, side, metric)?.value
  return value === undefined ? undefined : value.median >= least
}

/** Returns whether a metric is at most `most` in every run; undefined when it was not measured. */
export function isAtMost (outcome: ComparisonOutcome, side: string, metric: string, most: number): boolean | undefined {
  const value = findSummary(outcome, side, metric)?.value
  return value === undefined ? undefined : value.max <= most
}
