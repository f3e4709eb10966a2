/** Cost of client accounts in the configuration: memory, and traffic of a start and of a change. */
import { setTimeout as delay } from 'node:timers/promises'
import { startCluster } from '../cluster'
import { sumCpuMs, computeMean, computeRoleFigures, type Point } from '../figures'
import { createAccountChange, putReleaseNote } from '../releaseNotes'
import type { Probe, ProbeContext } from './types'

const FULL = [100, 1000, 3400]
const QUICK = [100, 500, 1000]
const ENTRIES = 6
const CHANGES = 5
const CHANGE_GAP_MS = 500
const SETTLE_MS = 3000

export const accounts: Probe = async (context) => {
  const points: Point[] = []
  for (const size of context.isQuick ? QUICK : FULL) points.push(await measureSize(size, context))
  return { size: 'client accounts', points }
}

async function measureSize (size: number, { folder }: ProbeContext): Promise<Point> {
  const cluster = await startCluster(`accounts-${size}`, folder, { entries: ENTRIES, domains: 2, accounts: size })
  const sumBytes = (bytes: Record<string, number>): number =>
    computeMean(Object.values(bytes)) * Object.keys(bytes).length
  try {
    await delay(SETTLE_MS)
    const duration = CHANGES * CHANGE_GAP_MS
    const idle = await cluster.measureDuring(async () => await delay(duration))
    const changing = await cluster.measureDuring(async () => {
      for (let base = 1; base <= CHANGES; base++) {
        await putReleaseNote(cluster.platform, createAccountChange(base))
        await delay(CHANGE_GAP_MS)
      }
    })
    const start = await cluster.measureDuring(async () => {
      cluster.deployment.processes.get('entry-1')!.signal('SIGKILL')
      await cluster.deployment.restart('entry-1')
      await delay(SETTLE_MS)
    })
    return {
      size,
      figures: {
        'memory, MiB': computeRoleFigures(changing, 'entry')['memory, MiB']!,
        'memory after a fresh start, MiB': start.usage['entry-1']!.residentBytes / 2 ** 20,
        'bytes a change, one instance': (sumBytes(changing.bytes) - sumBytes(idle.bytes)) / CHANGES / ENTRIES,
        'processor ms a change, one instance': (sumCpuMs(changing, 'entry') - sumCpuMs(idle, 'entry')) / CHANGES / ENTRIES,
        'bytes to start one instance': sumBytes(start.bytes)
      }
    }
  } finally {
    await cluster.stop()
  }
}
