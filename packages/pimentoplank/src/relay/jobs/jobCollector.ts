/** Removes jobs from the platform that nobody may read any more. */
import { describeCause, rankByRendezvous, type Clock, type Log } from '../../shared'
import type { PeerView } from '../gossip'
import type { JobStore } from './jobStore'

export interface JobCollectorOptions {
  self: string
  store: JobStore
  peers: () => readonly PeerView[]
  /** How long a job stays readable after its submission, in milliseconds. */
  keepMs: number
  clock: Clock
  log: Log
}

/** Jobs are kept for this many times as long as promised, so that clocks that differ take nothing away. */
const KEEP_FACTOR = 3
/** Time between two looks, in milliseconds. */
const SWEEP_EVERY_MS = 600_000

/** Starts to look for old jobs; each instance removes those that fall to it. */
export function createJobCollector (options: JobCollectorOptions): { sweep: () => Promise<void>, close: () => void } {
  const { self, store, peers, keepMs, clock, log } = options

  function isOwnDuty (job: string): boolean {
    const instances = [self, ...peers().map(({ report }) => report.instance)]
    return rankByRendezvous(job, instances, (id) => id)[0] === self
  }

  async function sweep (): Promise<void> {
    const jobs = await store.list()
    if (jobs.isErr()) {
      log.warn({ cause: describeCause(jobs.error) }, 'old jobs could not be listed')
      return
    }
    const before = clock.wallTime() - keepMs * KEEP_FACTOR
    for (const [job, { record }] of jobs.value) {
      const isOver = record.ended || record.finished
      if (!isOver || record.submittedAt > before || !isOwnDuty(job)) continue
      const removed = await store.remove(job, record)
      if (removed.isErr()) log.warn({ job, cause: describeCause(removed.error) }, 'old job could not be removed')
      else log.info({ job, submittedAt: record.submittedAt }, 'old job removed')
    }
  }

  const timer = setInterval(() => {
    sweep().catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'looking for old jobs failed'))
  }, SWEEP_EVERY_MS)
  timer.unref()
  return { sweep, close: () => clearInterval(timer) }
}
