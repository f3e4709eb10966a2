/** Goodput and refusals under overload, with and without a retry budget. */
import { findSummary, type Comparison } from '../comparison'
import { setFaults } from '../../load'
import type { BenchDeployment } from '../benchDeployment'
import { createExperiment } from '../experiments'
import { firstTokenP99, incompleteShare, refusalP99, usefulTokens, wrongResponses } from '../metrics'
import { createBaseSettings, createRetrySettings } from '../policies'
import { isAtMost } from './batchBesideLive'
import type { ComparisonScale } from '.'

/** Approximate capacity of the default engine configuration, in requests per second. */
const CAPACITY_RATE = 70
const OVERLOAD_FACTOR = 3
const MIN_USEFUL_RATIO = 0.95
const MAX_REFUSAL_MS = 50
const LIVE = { timeoutMs: 4000 }
/** Tokens after which the faulty target cuts each stream. */
const CUT_AFTER_TOKENS = 3
const OVERLOAD = 'threefold overload'

function createLoadAt (name: string, durationMs: number, factor: number) {
  return (seed: number) => createExperiment({
    name, seed, durationMs, ratePerSecond: CAPACITY_RATE * factor, isBursty: false, live: LIVE
  })
}

/** Compares a steady load at capacity with a threefold overload. */
export function overload ({ durationMs }: ComparisonScale): Comparison {
  const name = 'overload'
  const plan = { batches: 0, settings: createBaseSettings() }
  return {
    name,
    title: 'Useful work in a threefold overload',
    sides: [
      { name: 'at capacity', plan, experiment: createLoadAt(name, durationMs, 1) },
      { name: OVERLOAD, plan, experiment: createLoadAt(name, durationMs, OVERLOAD_FACTOR) }
    ],
    metrics: [usefulTokens, refusalP99, firstTokenP99, incompleteShare, wrongResponses],
    goals: [
      {
        text: 'Useful work in a threefold overload at least 95% of that at capacity',
        isMet: (outcome) => {
          const ratio = findSummary(outcome, OVERLOAD, usefulTokens.name)?.ratio
          return ratio === undefined ? undefined : ratio.median >= MIN_USEFUL_RATIO
        }
      },
      {
        text: 'Refusals answered within 50 ms (99th percentile)',
        isMet: (outcome) => isAtMost(outcome, OVERLOAD, refusalP99.name, MAX_REFUSAL_MS)
      }
    ]
  }
}

/** Compares a threefold overload with and without a retry budget, while one target cuts its streams. */
export function retryBudget ({ durationMs }: ComparisonScale): Comparison {
  const name = 'retry-budget'
  const experiment = createLoadAt(name, durationMs, OVERLOAD_FACTOR)
  const faulty = { pace: { engines: 4 }, batches: 0 }
  return {
    name,
    title: 'Retry budget in a threefold overload with a target that cuts its streams',
    sides: [
      { name: 'budget on', plan: { ...faulty, settings: createBaseSettings() }, experiment, during: cutStreams },
      { name: 'budget off', plan: { ...faulty, settings: createRetrySettings(1, 1_000_000) }, experiment, during: cutStreams }
    ],
    metrics: [usefulTokens, refusalP99, firstTokenP99, incompleteShare, wrongResponses],
    goals: []
  }
}

async function cutStreams ({ deployment, engineIds }: BenchDeployment): Promise<void> {
  const { address } = deployment.processes.get(engineIds[0]!)!.listening
  await setFaults(`http://${address}`, { cutAfterTokens: CUT_AFTER_TOKENS })
}
