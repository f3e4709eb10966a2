/** Routing policies and prefix affinity. */
import { ROUTING_WAYS } from 'pimentoplank/shared'
import type { Comparison } from '../comparison'
import { createExperiment } from '../experiments'
import { entryCoreShare, firstTokenP50, firstTokenP99, incompleteShare, tokenGapP99, usefulTokens } from '../metrics'
import { createSlotClientSettings } from '../policies'
import type { ComparisonScale } from '.'

const BUSY_RATE = 50
const DEFAULT_WAY = 'homes'
/** Share of its limit above which a target gets no affinity; so low that affinity is practically disabled. */
const NO_AFFINITY_SHARE = 0.000_001
/** Long shared prefixes, and caches that hold only some of them. */
const PREFIX_LOAD = { prefixChars: 8192, promptPrefixes: 40, prefixSkew: 0.5 }
const PREFIX_PACE = { prefillTokenMs: 0.05, cacheBlocks: 512 }

/** Compares all routing policies under the same bursty load. */
export function routing ({ durationMs }: ComparisonScale): Comparison {
  const name = 'routing'
  const ways = [DEFAULT_WAY, ...ROUTING_WAYS.filter((way) => way !== DEFAULT_WAY)]
  return {
    name,
    title: 'Routing ways under the same load',
    sides: ways.map((way) => ({
      name: way,
      plan: { batches: 0, settings: createSlotClientSettings({ routing: way }) },
      experiment: (seed) => createExperiment({ name, seed, durationMs, ratePerSecond: BUSY_RATE })
    })),
    metrics: [firstTokenP50, firstTokenP99, tokenGapP99, incompleteShare, usefulTokens, entryCoreShare],
    goals: []
  }
}

/** Compares long shared prompt prefixes with and without affinity. */
export function prefixAffinity ({ durationMs }: ComparisonScale): Comparison {
  const name = 'prefix-affinity'
  const experiment = (seed: number): ReturnType<typeof createExperiment> =>
    createExperiment({ name, seed, durationMs, ratePerSecond: BUSY_RATE / 2, live: PREFIX_LOAD })
  const prefixPlan = { pace: PREFIX_PACE, batches: 0 }
  return {
    name,
    title: 'Prefix affinity with long shared prompts',
    sides: [
      { name: 'affinity on', plan: { ...prefixPlan, settings: createSlotClientSettings({}) }, experiment },
      {
        name: 'affinity off',
        plan: { ...prefixPlan, settings: createSlotClientSettings({ overloadedShare: NO_AFFINITY_SHARE }) },
        experiment
      }
    ],
    metrics: [firstTokenP50, firstTokenP99, tokenGapP99, incompleteShare, usefulTokens],
    goals: []
  }
}
