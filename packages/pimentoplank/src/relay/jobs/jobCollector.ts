/** Deletes jobs from the platform once their retention period is over. */
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

/** Jobs are kept this many times longer than promised, so that clock skew never deletes a readable job. */
const KEEP_FACTOR = 3
/** Interval between two sweeps, in milliseconds. */
const SWEEP_INTERVAL_MS = 600_000

/** Starts the periodic sweep; each instance deletes the jobs that rendezvous hashing assigns to it. */
export function createJobCollector (options: JobCollectorOptions): { sweep: () => Promise<void>, close: () => void } {
  const { self, store, peers, keepMs, clock, log } = options

  function isResponsibleFor (job: string): boolean {
    const instances = [self, ...peers().map(({ report }) => report.instance)]
    return rankByRendezvous(job, instances, (id) => id)[0] === self
  }

  async function sweep (): Promise<void> {
    const jobs = await store.list()
    if (jobs.isErr()) {
      log.warn({ cause: describeCause(jobs.error) }, 'expired jobs could not be listed')
      return
    }
    const before = clock.wallTime() - keepMs * KEEP_FACTOR
    for (const [job, { record }] of jobs.value) {
      const isOver = record.ended || record.finished
      if (!isOver || record.submittedAt > before || !isResponsibleFor(job)) continue
      const removed = await store.remove(job, record)
      if (removed.isErr()) log.warn({ job, cause: describeCause(removed.error) }, 'expired job could not be deleted')
      else log.info({ job, submittedAt: record.submittedAt }, 'expired job deleted')
    }
  }

  const timer = setInterval(() => {
    sweep().catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'sweep for expired jobs failed'))
  }, SWEEP_INTERVAL_MS)
  timer.unref()
  return { sweep, close: () => clearInterval(timer) }
}
