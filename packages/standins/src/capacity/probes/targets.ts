/** Cost of target records in the instance list: memory, and traffic with and without changes to the list. */
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { SERVICE } from '../../bench/benchPlan'
import { startCluster, type Cluster, type Measurement } from '../cluster'
import { sumCpuMs, computeMean, sumPeerBytes, computePeerFigures, computeRoleFigures, type Figures } from '../figures'
import type { Probe } from './types'

const FULL = [100, 400, 1180]
const QUICK = [50, 150, 300]
const ENTRIES = 8
const DOMAINS = 2
const IDLE_MS = 10_000
const CHANGES = 3
/** Longer than the interval between two reads of the list. */
const CHANGE_GAP_MS = 3500
const SETTLE_MS = 4000
const MAX_PARALLEL = 50

export const targets: Probe = async ({ folder, isQuick }) => {
  const cluster = await startCluster('targets', folder, { entries: ENTRIES, domains: DOMAINS })
  try {
    const points = []
    let registeredCount = 0
    for (const size of isQuick ? QUICK : FULL) {
      await registerTargets(cluster, registeredCount, size)
      registeredCount = size
      points.push({ size, figures: await measureSize(cluster) })
    }
    return { size: 'records of targets', points }
  } finally {
    await cluster.stop()
  }
}

async function measureSize (cluster: Cluster): Promise<Figures> {
  await delay(2 * SETTLE_MS)
  const idle = await cluster.measureDuring(async () => await delay(IDLE_MS))
  const changing = await cluster.measureDuring(async () => {
    for (let index = 0; index < CHANGES; index++) {
      await putTarget(cluster, index, `127.0.0.2:${Math.floor(performance.now() / 10) % 60_000 + 1}`)
      await delay(CHANGE_GAP_MS)
    }
  })
  const fresh = await measureStart(cluster)
  const computePerChange = (of: (measurement: Measurement) => number): number =>
    (of(changing) - of(idle) / idle.seconds * changing.seconds) / CHANGES / ENTRIES
  return {
    ...computeRoleFigures(idle, 'entry'),
    ...computePeerFigures(idle),
    'memory after a fresh start, MiB': fresh.usage['entry-1']!.residentBytes / 2 ** 20,
    'peer bytes a change of the list, one instance': computePerChange(sumPeerBytes),
    'processor ms a change of the list, one instance': computePerChange((measurement) => sumCpuMs(measurement, 'entry')),
    'bytes of one reading at the platform': estimateReadBytes(idle)
  }
}

async function measureStart (cluster: Cluster): Promise<Measurement> {
  return await cluster.measureDuring(async () => {
    cluster.deployment.processes.get('entry-1')!.signal('SIGKILL')
    await cluster.deployment.restart('entry-1')
    await delay(SETTLE_MS)
  })
}

/** Estimates bytes per read of the list from all platform traffic; this includes the small traffic of watches. */
function estimateReadBytes (measurement: Measurement): number {
  const platformBytes = Object.entries(measurement.bytes).filter(([name]) => name.startsWith('platform:')).map(([, bytes]) => bytes)
  return computeMean(platformBytes) * platformBytes.length / (measurement.platform.calls['_instances']?.list ?? 1)
}

async function registerTargets (cluster: Cluster, from: number, to: number): Promise<void> {
  for (let start = from; start < to; start += MAX_PARALLEL) {
    const count = Math.min(MAX_PARALLEL, to - start)
    await Promise.all(Array.from({ length: count }, async (_, index) =>
      await putTarget(cluster, start + index, `127.0.0.2:${start + index + 1}`)))
  }
}

async function putTarget (cluster: Cluster, index: number, address: string): Promise<void> {
  const id = `${SERVICE}-replica-${String(index).padStart(4, '0')}`
  const record = {
    id, role: 'engine', service: SERVICE, address, failureDomain: `local-${index % DOMAINS}`, region: 'local', state: 'live'
  }
  const res = await request(`${cluster.deployment.platformUrl}/_control/instances/${id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(record)
  })
  await res.body.dump()
}
