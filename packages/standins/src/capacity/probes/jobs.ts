/** Cost of stored job objects: memory of an entry instance, and traffic of its start. */
import { setTimeout as delay } from 'node:timers/promises'
import { jobRecord, OBJECT_KINDS } from 'pimentoplank/shared'
import { createCaller, createJobClient } from '../../caller'
import { BATCH_KEY, MODEL } from '../../bench/benchPlan'
import { startCluster, type Cluster } from '../cluster'
import { computeMean, type Point } from '../figures'
import type { Probe } from './types'

const FULL = [400, 1200, 8400]
const QUICK = [100, 300, 600]
const MAX_PARALLEL = 50
const SETTLE_MS = 4000

export const jobs: Probe = async ({ folder, isQuick }) => {
  const cluster = await startCluster('jobs', folder, { entries: 3, domains: 1 })
  try {
    const value = await createJob(cluster)
    const points: Point[] = []
    let storedCount = 0
    for (const size of isQuick ? QUICK : FULL) {
      await storeJobs(cluster, value, storedCount, size)
      storedCount = size
      points.push({ size, figures: await measureStart(cluster) })
    }
    return { size: 'job objects kept', points }
  } finally {
    await cluster.stop()
  }
}

async function measureStart (cluster: Cluster): Promise<Record<string, number>> {
  const start = await cluster.measureDuring(async () => {
    cluster.deployment.processes.get('entry-1')!.signal('SIGKILL')
    await cluster.deployment.restart('entry-1')
    await delay(SETTLE_MS)
  })
  const bytes = Object.values(start.bytes)
  return {
    'memory after a fresh start, MiB': start.usage['entry-1']!.residentBytes / 2 ** 20,
    'bytes to start one instance': computeMean(bytes) * bytes.length
  }
}

/** Submits a small job and reads its stored object. */
async function createJob (cluster: Cluster): Promise<object> {
  const caller = createCaller({ seeds: cluster.deployment.entryAddresses(), key: BATCH_KEY })
  const items = [{ id: 'item-0', body: { model: MODEL, messages: [{ role: 'user', content: 'One.' }] } }]
  const { body } = await createJobClient(caller).submit('capacity', items)
  await caller.close()
  const read = await cluster.platform.get(OBJECT_KINDS.job, (body as { id: string }).id)
  if (read.isErr()) throw read.error
  return jobRecord.parse(read.value?.value)
}

async function storeJobs (cluster: Cluster, value: object, from: number, to: number): Promise<void> {
  for (let start = from; start < to; start += MAX_PARALLEL) {
    const count = Math.min(MAX_PARALLEL, to - start)
    await Promise.all(Array.from({ length: count }, async (_, index) => {
      const name = `kept-${String(start + index).padStart(6, '0')}`
      const counts = { done: 1, failed: 0, unknown: 0 }
      const job = { ...value, state: 'done', counts }
      const written = await cluster.platform.put(OBJECT_KINDS.job, name, job, { ifRevision: 0 })
      if (written.isErr()) throw written.error
    }))
  }
}
