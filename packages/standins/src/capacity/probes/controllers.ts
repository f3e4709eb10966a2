/** Cost of a controller by number of engines that it manages. */
import { setTimeout as delay } from 'node:timers/promises'
import { startCluster } from '../cluster'
import { computeCallFigures, computeMean, computeRoleFigures, type Point } from '../figures'
import { SERVICE } from '../../bench/benchPlan'
import type { Probe } from './types'

const FULL = { sizes: [4, 12, 24], idleMs: 12_000, settleMs: 20_000 }
const QUICK = { sizes: [2, 4, 8], idleMs: 8000, settleMs: 4000 }

export const controllers: Probe = async ({ folder, isQuick }) => {
  const scale = isQuick ? QUICK : FULL
  const points: Point[] = []
  for (const size of scale.sizes) {
    const cluster = await startCluster(`controllers-${size}`, folder, {
      entries: 1, controllers: 1, engines: size, domains: 1, models: 1
    })
    try {
      await delay(scale.settleMs)
      const idle = await cluster.measureDuring(async () => await delay(scale.idleMs))
      const engineBytes = Object.entries(idle.bytes)
        .filter(([name]) => name.startsWith(`${SERVICE}-`))
        .map(([, bytes]) => bytes / idle.seconds)
      points.push({
        size,
        figures: {
          ...computeRoleFigures(idle, 'controller'),
          ...computeCallFigures(idle),
          'bytes/s to and from one engine': computeMean(engineBytes),
          'bytes/s to and from all engines': computeMean(engineBytes) * engineBytes.length
        }
      })
    } finally {
      await cluster.stop()
    }
  }
  return { size: 'engines', points }
}
