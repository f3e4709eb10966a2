/** Enforces the limit of waiting tokens of a route across all instances. */
import { ok, type Result } from 'neverthrow'
import { hash32, type Log, type PlatformError } from '../../shared'
import { comesBefore, countWaitingTokens, mayRefuse } from '../decisions'
import type { PeerView } from '../gossip'
import type { JobRegistry } from './jobRegistry'
import type { StoredJob } from './jobStore'
import type { RecordView } from './recordView'

export interface QuotaJob {
  id: string
  /** Name of its route. */
  route: string
  tokens: number
  /** Maximum of waiting tokens on the route; 0 for no limit. */
  limit: number
}

export interface Quota {
  /**
   * Checks before a job is stored whether it may fit, which only `confirm` tells for certain. A job that may fit is
   * counted here until it is released.
   */
  reserve: (job: QuotaJob) => Promise<Result<boolean, PlatformError>>
  release: (job: QuotaJob) => void
  /**
   * Checks whether a stored job fits, before it is accepted. Concurrently stored jobs are ordered by the store's
   * revisions, which every instance sees alike: the first ones that fit stay. A job whose record is gone does not fit.
   * Fails if the records can't be read.
   *
   * @param revision - revision of its record
   */
  confirm: (job: QuotaJob, revision: number) => Promise<Result<boolean, PlatformError>>
}

export interface QuotaOptions {
  jobRegistry: JobRegistry
  recordView: RecordView
  peers: () => readonly PeerView[]
  log: Log
}

const NO_LIMIT = 0
/** Maximum of jobs in one report, so that it fits a datagram; of the others, peers count all tokens as waiting. */
const MAX_REPORTED_JOBS = 1500

/**
 * Returns the tokens of items without a result for owned jobs whose records do not tell yet that they are done, by
 * hash of the job id; the oldest jobs, if there are very many.
 */
export function getOpenTokens (registry: JobRegistry): Map<number, number> {
  const open = new Map<number, number>()
  for (const job of registry.owned()) {
    if (open.size >= MAX_REPORTED_JOBS) break
    if (!job.isEnded() && !job.record().finished) open.set(hash32(job.id), job.countOpenTokens())
  }
  return open
}

/** Creates the quota check of an instance. */
export function createQuota ({ jobRegistry: registry, recordView: view, peers, log }: QuotaOptions): Quota {
  /** Jobs that are being stored here. */
  const reserved = new Set<QuotaJob>()

  function countTokens (route: string, isCounted: (job: StoredJob) => boolean): number {
    const reports = new Map(peers().map(({ report }) => [report.instance, report.openJobs]))
    return countWaitingTokens([...view.getOpen()]
      .filter(([, stored]) => stored.record.route === route && isCounted(stored))
      .map(([id, { record }]) => ({
        tokens: record.tokens,
        open: getOwnOpen(id) ?? reports.get(record.owner)?.get(hash32(id))
      })))
  }

  function getOwnOpen (id: string): number | undefined {
    return registry.getKnown(id)?.ended === true ? 0 : registry.get(id)?.countOpenTokens()
  }

  function countReserved (route: string): number {
    return countWaitingTokens([...reserved].filter((one) => one.route === route && !view.getOpen().has(one.id)))
  }

  function mayFit ({ id, route, tokens, limit }: QuotaJob): boolean {
    const others = countTokens(route, () => true) - (view.getOpen().get(id)?.record.tokens ?? 0)
    return others + countReserved(route) + tokens <= limit
  }

  async function reserve (job: QuotaJob): Promise<Result<boolean, PlatformError>> {
    if (job.limit === NO_LIMIT) return ok(true)
    if (view.getAgeMs() === Infinity || (!mayFit(job) && !mayRefuse(view.getAgeMs()))) {
      const read = await view.refresh()
      if (read.isErr()) return read.map(() => false)
    }
    const isFitting = mayFit(job)
    if (isFitting) reserved.add(job)
    return ok(isFitting)
  }

  async function confirm ({ id, route, limit }: QuotaJob, revision: number): Promise<Result<boolean, PlatformError>> {
    if (limit === NO_LIMIT) return ok(true)
    const read = await view.reach(revision)
    return read.map(() => {
      const isEarlier = (other: StoredJob): boolean =>
        comesBefore({ ...other.record, revision: other.revision }, revision)
      const counted = view.getOpen().has(id) ? countTokens(route, isEarlier) : Infinity
      if (counted > limit) log.info({ job: id, route, counted, limit }, 'jobs stored earlier fill the quota')
      return counted <= limit
    })
  }

  return { reserve, release: (job) => { reserved.delete(job) }, confirm }
}
