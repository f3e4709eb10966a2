/** Cost of entry instances without callers, and of configuration changes. */
import { setTimeout as delay } from 'node:timers/promises'
import { startCluster, type Cluster } from '../cluster'
import { computeCallFigures, computeMean, sumPeerBytes, computePeerFigures, computeRoleFigures, type Point } from '../figures'
import { createAccountChange, putReleaseNote } from '../releaseNotes'
import type { Probe, ProbeContext } from './types'

const FULL = { sizes: [8, 16, 32], idleMs: 20_000, changes: 5, settleMs: 20_000 }
const QUICK = { sizes: [4, 8, 12], idleMs: 10_000, changes: 3, settleMs: 3000 }
const DOMAINS = 4
const CHANGE_GAP_MS = 700

export const instances: Probe = async (context) => {
  const scale = context.isQuick ? QUICK : FULL
  const points: Point[] = []
  for (const size of scale.sizes) points.push(await measureSize(size, scale, context))
  return { size: 'entry instances', points }
}

async function measureSize (size: number, scale: typeof FULL, { folder }: ProbeContext): Promise<Point> {
  const cluster = await startCluster(`instances-${size}`, folder, { entries: size, domains: DOMAINS })
  try {
    await delay(scale.settleMs)
    const idle = await cluster.measureDuring(async () => await delay(scale.idleMs))
    const changing = await cluster.measureDuring(async () => await applyChanges(cluster, 1, scale.changes))
    const waits = await timeChanges(cluster, 1 + scale.changes, scale.changes)
    const idleBytes = sumPeerBytes(idle) / idle.seconds * changing.seconds
    return {
      size,
      figures: {
        ...computeRoleFigures(idle, 'entry'),
        ...computePeerFigures(idle),
        ...computeCallFigures(idle),
        'peer bytes a change, one instance': (sumPeerBytes(changing) - idleBytes) / scale.changes / size,
        'in force everywhere, mean ms': computeMean(waits),
        'in force everywhere, largest ms': Math.max(...waits)
      }
    }
  } finally {
    await cluster.stop()
  }
}

async function applyChanges (cluster: Cluster, base: number, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    await putReleaseNote(cluster.platform, createAccountChange(base + index))
    await delay(CHANGE_GAP_MS)
  }
}

async function timeChanges (cluster: Cluster, base: number, count: number): Promise<number[]> {
  const waits: number[] = []
  for (let index = 0; index < count; index++) {
    await putReleaseNote(cluster.platform, createAccountChange(base + index))
    waits.push(await cluster.waitUntilApplied(base + index + 1))
  }
  return waits
}
