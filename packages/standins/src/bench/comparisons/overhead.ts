/** Overhead of the system compared with direct calls to the engine. */
import type { Comparison } from '../comparison'
import { createExperiment } from '../experiments'
import { entryCoreShare, entryMemory, firstTokenP50, firstTokenP99, incompleteShare, tokenGapP99, wrongResponses } from '../metrics'
import { createBaseSettings } from '../policies'
import type { ComparisonScale } from '.'

/** Far below capacity, so that no request waits. */
const LIGHT_RATE = 20
const HEAVY_RATE = 60

/** Compares direct calls, calls through one entry instance, and a heavy load through that instance. */
export function overhead ({ durationMs }: ComparisonScale): Comparison {
  const name = 'overhead'
  const plan = { entries: 1, batches: 0, settings: createBaseSettings() }
  const light = (seed: number): ReturnType<typeof createExperiment> =>
    createExperiment({ name, seed, durationMs, ratePerSecond: LIGHT_RATE, isBursty: false })
  const heavy = (seed: number): ReturnType<typeof createExperiment> =>
    createExperiment({ name, seed, durationMs, ratePerSecond: HEAVY_RATE, isBursty: false })
  return {
    name,
    title: 'Added time over a direct call to the engine',
    sides: [
      { name: 'direct', plan, direct: true, experiment: light },
      { name: 'through one entry instance', plan, experiment: light },
      { name: 'through one entry instance, 60 requests a second', plan, experiment: heavy }
    ],
    metrics: [firstTokenP50, firstTokenP99, tokenGapP99, incompleteShare, wrongResponses, entryCoreShare, entryMemory],
    goals: []
  }
}
