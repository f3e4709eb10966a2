/** Calls that reach the platform during an outage, when none of them gets a response. */
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { startCluster } from '../cluster'
import { computeCallFigures, computeRoleFigures, type Point } from '../figures'
import type { Probe, ProbeContext } from './types'

const FULL = { sizes: [3, 6, 9], windowMs: 10_000 }
const QUICK = { sizes: [2, 3, 4], windowMs: 6000 }
/** Time into the outage after which the platform data of every instance is stale, in milliseconds. */
const STALE_AFTER_MS = 26_000

export const outage: Probe = async (context) => {
  const scale = context.isQuick ? QUICK : FULL
  const points = await Promise.all(scale.sizes.map(async (size) => await measureSize(size, scale.windowMs, context)))
  return { size: 'entry instances', points }
}

async function measureSize (size: number, windowMs: number, { folder }: ProbeContext): Promise<Point> {
  const cluster = await startCluster(`outage-${size}`, folder, { entries: size, domains: 1 })
  try {
    const res = await request(`${cluster.deployment.platformUrl}/_control/faults`, {
      method: 'PATCH',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ down: true })
    })
    await res.body.dump()
    await delay(STALE_AFTER_MS)
    const down = await cluster.measureDuring(async () => await delay(windowMs))
    const calls = computeCallFigures(down)
    return { size, figures: { ...calls, 'calls/s of one instance': calls['all, calls/s']! / size, ...computeRoleFigures(down, 'entry') } }
  } finally {
    await cluster.stop()
  }
}
