/** Cost of idle batch runners. */
import { setTimeout as delay } from 'node:timers/promises'
import { startCluster } from '../cluster'
import { computeCallFigures, computePeerFigures, computeRoleFigures, type Point } from '../figures'
import type { Probe } from './types'

const FULL = { sizes: [2, 4, 8], idleMs: 20_000, settleMs: 15_000 }
const QUICK = { sizes: [1, 2, 4], idleMs: 10_000, settleMs: 3000 }

export const runners: Probe = async ({ folder, isQuick }) => {
  const scale = isQuick ? QUICK : FULL
  const points: Point[] = []
  for (const size of scale.sizes) {
    const cluster = await startCluster(`runners-${size}`, folder, { entries: 2, batches: size, domains: 2 })
    try {
      await delay(scale.settleMs)
      const idle = await cluster.measureDuring(async () => await delay(scale.idleMs))
      points.push({ size, figures: { ...computeRoleFigures(idle, 'batch'), ...computePeerFigures(idle), ...computeCallFigures(idle) } })
    } finally {
      await cluster.stop()
    }
  }
  return { size: 'batch runners', points }
}
