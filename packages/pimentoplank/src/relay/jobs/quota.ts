/** Enforces the limit of waiting tokens of a route across all instances. */
import { err, ok, type Result } from 'neverthrow'
import { hash32, type Clock, type Log, type PlatformError } from '../../shared'
import { isClearlyUnderLimit, countWaitingTokens } from '../decisions'
import type { PeerView } from '../gossip'
import type { JobRegistry } from './jobRegistry'
import type { JobStore, StoredJob } from './jobStore'

export interface QuotaCheck {
  fits: boolean
  /**
   * Called once the job is stored, before it is acknowledged: resolves a race with other instances. The result is false
   * when the job had to be withdrawn.
   */
  confirm: (job: string, revision: number) => Promise<Result<boolean, PlatformError>>
}

export interface Quota {
  /**
   * Checks whether a job fits within the limit of its route.
   *
   * @param route - name of the route
   * @param tokens - tokens of the job
   * @param limit - maximum of waiting tokens; 0 for no limit
   */
  check: (route: string, tokens: number, limit: number) => Promise<Result<QuotaCheck, PlatformError>>
}

export interface QuotaOptions {
  self: string
  jobRegistry: JobRegistry
  store: JobStore
  peers: () => readonly PeerView[]
  clock: Clock
  log: Log
}

const NO_LIMIT = 0
const CONFIRMED: QuotaCheck = { fits: true, confirm: async () => ok(true) }
const REFUSED: QuotaCheck = { fits: false, confirm: async () => ok(false) }

/** Returns the tokens of items without a result for each owned job, by hash of the job id. */
export function getOpenTokens (registry: JobRegistry): Map<number, number> {
  const open = new Map<number, number>()
  for (const job of registry.owned()) {
    if (!job.isEnded() && job.openItems().size > 0) open.set(hash32(job.id), job.countOpenTokens())
  }
  return open
}

/** Creates the quota check of an instance. */
export function createQuota ({ self, jobRegistry: registry, store, peers, clock, log }: QuotaOptions): Quota {
  function sumReportedTokens (): number {
    const own = [...getOpenTokens(registry).values()]
    const others = peers().flatMap(({ report }) => [...report.openJobs.values()])
    return [...own, ...others].reduce((sum, tokens) => sum + tokens, 0)
  }

  /** Counts waiting tokens from the stored records, refined by the open tokens that instances report. */
  async function countTokens (
    route: string,
    isCounted: (job: StoredJob) => boolean
  ): Promise<Result<number, PlatformError>> {
    const jobs = await store.list()
    if (jobs.isErr()) return err(jobs.error)
    const reports = new Map(peers().map(({ report }) => [report.instance, report.openJobs]))
    reports.set(self, getOpenTokens(registry))
    const now = clock.wallTime()
    return ok(countWaitingTokens([...jobs.value]
      .filter(([, { record }]) => record.route === route && !record.ended && !record.finished)
      .filter(([, job]) => isCounted(job))
      .map(([id, { record }]) => ({
        tokens: record.tokens,
        ageMs: now - record.submittedAt,
        isOwnerHeard: reports.has(record.owner),
        reported: reports.get(record.owner)?.get(hash32(id))
      }))))
  }

  /**
   * Concurrently stored jobs are ordered by the store's revisions, which every instance sees alike: the first ones that
   * fit stay.
   */
  async function confirm (
    route: string,
    limit: number,
    job: string,
    revision: number
  ): Promise<Result<boolean, PlatformError>> {
    const isEarlier = (other: StoredJob): boolean => other.revision <= revision || other.record.epoch > 1
    const counted = await countTokens(route, isEarlier)
    if (counted.isErr()) return err(counted.error)
    if (counted.value <= limit) return ok(true)
    log.info({ job, route, counted: counted.value, limit }, 'job withdrawn: jobs stored earlier fill the quota')
    return (await store.withdraw(job, revision)).map(() => false)
  }

  async function reserve (route: string, tokens: number, limit: number): Promise<Result<QuotaCheck, PlatformError>> {
    const instances = peers().length + 1
    const isSure = limit === NO_LIMIT ||
      isClearlyUnderLimit({ reported: sumReportedTokens(), tokens, limit, instances })
    if (isSure) return ok(CONFIRMED)
    const counted = await countTokens(route, () => true)
    if (counted.isErr()) return err(counted.error)
    if (counted.value + tokens > limit) return ok(REFUSED)
    return ok({ fits: true, confirm: async (job, revision) => await confirm(route, limit, job, revision) })
  }

  return { check: reserve }
}
