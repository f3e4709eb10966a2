/** Effect of the commit size of batch results. */
import type { Comparison } from '../comparison'
import { createExperiment } from '../experiments'
import { lostOrDuplicated, platformCalls, overallJobRate } from '../metrics'
import { createCommitSettings } from '../policies'
import type { ComparisonScale } from '.'

const ITEMS_PER_SECOND = 75
const SIZES = [256, 64, 16, 1]
const EVERY_MS = 10_000

/** Compares commit sizes on a batch job without live load. */
export function commitSize ({ durationMs }: ComparisonScale): Comparison {
  const name = 'commit-size'
  const batchItems = Math.round(ITEMS_PER_SECOND * durationMs / 1000)
  return {
    name,
    title: 'Items of one commit of batch results',
    sides: SIZES.map((size) => ({
      name: `${size} items`,
      plan: { settings: createCommitSettings(size, EVERY_MS) },
      experiment: (seed) => createExperiment({ name, seed, durationMs, batchItems })
    })),
    metrics: [overallJobRate, platformCalls, lostOrDuplicated],
    goals: []
  }
}
