/** Cost of batch jobs by number of items: platform calls, traffic and CPU time. */
import { setTimeout as delay } from 'node:timers/promises'
import { BATCH_KEY, MODEL } from '../../bench/benchPlan'
import { experiment } from '../../load'
import { runExperiment } from '../../load/runExperiment'
import { startCluster, type Cluster } from '../cluster'
import { countCalls, sumCpuMs, sumPeerBytes, type Figures, type Point } from '../figures'
import type { Probe } from './types'

const FULL = { sizes: [500, 1500, 3000], idleMs: 5000 }
const QUICK = { sizes: [200, 500, 1000], idleMs: 3000 }
const ACCOUNTS = 10
const LIMIT_MS = 90_000

export const batch: Probe = async ({ folder, isQuick, log }) => {
  const scale = isQuick ? QUICK : FULL
  const cluster = await startCluster('batch', folder, {
    entries: 2, batches: 2, engines: 4, domains: 1, accounts: ACCOUNTS, tokenMs: 2
  })
  try {
    await runJob(cluster, scale.sizes[0]! / 2, 0)
    const idle = await cluster.measureDuring(async () => await delay(scale.idleMs))
    const points: Point[] = []
    for (const [index, size] of scale.sizes.entries()) {
      let figures: Figures = {}
      const busy = await cluster.measureDuring(async () => { figures = await runJob(cluster, size, index + 1) })
      const calls = Object.fromEntries(Object.entries(countCalls(busy)).map(([name, count]) => [`${name}, calls`, count]))
      const computePerItem = (of: (measurement: typeof busy) => number): number =>
        (of(busy) - of(idle) / idle.seconds * busy.seconds) / size
      points.push({
        size,
        figures: {
          ...figures,
          ...calls,
          seconds: busy.seconds,
          'platform bytes an item': computePerItem(({ platform }) => platform.bytes),
          'control bytes an item': computePerItem(sumPeerBytes),
          'runner processor ms an item': computePerItem((measurement) => sumCpuMs(measurement, 'batch')),
          'entry processor ms an item': computePerItem((measurement) => sumCpuMs(measurement, 'entry'))
        }
      })
      log(`batch of ${size} items: ${busy.seconds.toFixed(1)} s`)
    }
    return { size: 'items of a job', points }
  } finally {
    await cluster.stop()
  }
}

async function runJob (cluster: Cluster, items: number, seed: number): Promise<Figures> {
  const result = await runExperiment({
    entries: cluster.deployment.entryAddresses(),
    experiment: experiment.parse({
      name: 'capacity',
      seed,
      model: MODEL,
      durationMs: 0,
      accounts: { keys: [BATCH_KEY] },
      batch: { itemsPerJob: items, maxTokens: 16, limitMs: LIMIT_MS, pollMs: 500 }
    })
  })
  const [job] = result.batch!.jobs
  return { 'items done': job!.done, 'items lost or doubled': job!.lost + job!.doubled }
}
