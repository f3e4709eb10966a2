/** Duration of live errors after instances are killed, and loss or duplication of batch items. */
import { setTimeout as delay } from 'node:timers/promises'
import type { BenchDeployment } from '../benchDeployment'
import type { Comparison, Side } from '../comparison'
import { createExperiment } from '../experiments'
import { batchRate, firstTokenP99, lostOrDuplicated, incompleteShare, createRecoveryMetric, wrongResponses } from '../metrics'
import { createBaseSettings } from '../policies'
import { isAtMost } from './batchBesideLive'
import type { ComparisonScale } from '.'

const LIVE_RATE = 30
const ITEMS_PER_SECOND = 30
const ENGINES = 6
const KILL_AFTER_MS = 3000
const MAX_RECOVERY_S = 5
const LEASE = { lengthMs: 3000, renewEveryMs: 1000 }

interface Kill {
  name: string
  ids: (bench: BenchDeployment) => string[]
}

const KILLS: Kill[] = [
  { name: 'a batch runner killed', ids: () => ['batch-1'] },
  { name: 'an entry instance killed', ids: () => ['entry-1'] },
  { name: 'a third of the targets killed', ids: ({ engineIds }) => engineIds.slice(0, ENGINES / 3) },
  { name: 'half of the entry instances killed', ids: () => ['entry-1', 'entry-2'] }
]

/** Compares live and batch load without disturbance and with instances killed during the run. */
export function recovery ({ durationMs }: ComparisonScale): Comparison {
  const name = 'recovery'
  const settings = createBaseSettings({ batch: { batch: { commit: { everyMs: 1000 }, lease: LEASE } } })
  const plan = { pace: { engines: ENGINES }, entries: 4, batches: 3, settings }
  const runMs = Math.max(durationMs, KILL_AFTER_MS + 2 * MAX_RECOVERY_S * 1000)
  const batchItems = Math.round(ITEMS_PER_SECOND * runMs / 1000)
  const experiment: Side['experiment'] = (seed) =>
    createExperiment({ name, seed, durationMs: runMs, ratePerSecond: LIVE_RATE, isBursty: false, batchItems })
  const sides = KILLS.map((kill): Side => ({
    name: kill.name,
    plan,
    experiment,
    during: async (bench) => {
      await delay(KILL_AFTER_MS)
      await bench.kill(kill.ids(bench))
    }
  }))
  const errorDuration = createRecoveryMetric(KILL_AFTER_MS)
  return {
    name,
    title: 'Recovery after instances are killed',
    sides: [{ name: 'undisturbed', plan, experiment }, ...sides],
    metrics: [errorDuration, incompleteShare, firstTokenP99, batchRate, wrongResponses, lostOrDuplicated],
    goals: sides.flatMap((side) => [
      {
        text: `Live errors end within 5 s: ${side.name}`,
        isMet: (outcome) => isAtMost(outcome, side.name, errorDuration.name, MAX_RECOVERY_S)
      },
      {
        text: `No batch item lost or doubled: ${side.name}`,
        isMet: (outcome) => isAtMost(outcome, side.name, lostOrDuplicated.name, 0)
      }
    ])
  }
}
