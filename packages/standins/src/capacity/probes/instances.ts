/** Cost of entry instances without callers, and of configuration changes. */
import { setTimeout as delay } from 'node:timers/promises'
import { startCluster, type Cluster } from '../cluster'
import { callFigures, mean, peerBytes, peerFigures, roleFigures, type Point } from '../figures'
import { createChange, putNote } from '../notes'
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
    const idle = await cluster.during(async () => await delay(scale.idleMs))
    const changing = await cluster.during(async () => await applyChanges(cluster, 1, scale.changes))
    const waits = await timeChanges(cluster, 1 + scale.changes, scale.changes)
    const idleBytes = peerBytes(idle) / idle.seconds * changing.seconds
    return {
      size,
      figures: {
        ...roleFigures(idle, 'entry'),
        ...peerFigures(idle),
        ...callFigures(idle),
        'peer bytes a change, one instance': (peerBytes(changing) - idleBytes) / scale.changes / size,
        'in force everywhere, mean ms': mean(waits),
        'in force everywhere, largest ms': Math.max(...waits)
      }
    }
  } finally {
    await cluster.stop()
  }
}

async function applyChanges (cluster: Cluster, base: number, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    await putNote(cluster.platform, createChange(base + index))
    await delay(CHANGE_GAP_MS)
  }
}

async function timeChanges (cluster: Cluster, base: number, count: number): Promise<number[]> {
  const waits: number[] = []
  for (let index = 0; index < count; index++) {
    await putNote(cluster.platform, createChange(base + index))
    waits.push(await cluster.inForce(base + index + 1))
  }
  return waits
}
