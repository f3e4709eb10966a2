/**
 * Compares the stored records with what this instance knows, and takes over open jobs that no instance runs. Events
 * such as the loss of a peer lead to this sooner, but no job depends on one.
 */
import { describeCause, type Clock, type Log, type Metrics, type Random } from '../../shared'
import { computeReadAfterLossMs, computeRecordReadMs, computeTakeOverAt, type Absence } from '../decisions'
import type { PeerView } from '../gossip'
import type { JobManager } from './jobManager'
import { toKnownJob, type JobRegistry } from './jobRegistry'
import type { StoredJob } from './jobStore'
import type { RecordView } from './recordView'
import { createSuccession } from './succession'

export interface JobReconcilerOptions {
  self: string
  jobRegistry: JobRegistry
  jobManager: Pick<JobManager, 'takeOver'>
  recordView: Pick<RecordView, 'getOpen' | 'refresh'>
  peers: () => readonly PeerView[]
  isLeaving: () => boolean
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface JobReconciler {
  /**
   * Begins to read the records.
   *
   * @param delayMs - time until the first read, in which peers are first heard, in milliseconds
   */
  start: (delayMs: number) => void
  /** Reads the records soon, since an instance was lost. */
  recordLoss: () => void
  /** Reads the records when they are due; called periodically. */
  tick: () => void
}

/** Creates the reconciler of an instance. */
export function createJobReconciler (options: JobReconcilerOptions): JobReconciler {
  const { self, jobRegistry: registry, jobManager, recordView, peers, isLeaving, clock, random, metrics, log } = options
  const { isAlive, isSuccessorOf } = createSuccession(options)
  /** Owners of open jobs that are not alive, and jobs that are stored under this instance without being known here. */
  const absences = new Map<string, Absence>()
  /** Last tries to take over a job, by job id. */
  const tries = new Map<string, number>()
  /** Revisions of the open records as read last, by job id. */
  let revisions = new Map<string, number>()
  let nextReadAt = Infinity
  let isReading = false

  async function reconcile (): Promise<void> {
    const read = await recordView.refresh()
    nextReadAt = clock.now() + computeRecordReadMs(peers().length + 1, random())
    if (read.isErr()) {
      metrics.countRetry('platformUnavailable')
      log.warn({ cause: read.error.message }, 'stored records could not be compared with known jobs')
      return
    }
    const open = recordView.getOpen()
    recordAbsences(open)
    revisions = new Map([...open].map(([id, { revision }]) => [id, revision]))
    for (const id of tries.keys()) if (!open.has(id)) tries.delete(id)
    for (const [id, stored] of open) {
      if (!isOrphan(id, stored.record.owner)) continue
      takeOverWhenDue(id, stored).catch((cause: unknown) => log.error({
        job: id, cause: describeCause(cause)
      }, 'job without an owner could not be taken over'))
    }
  }

  /** Each job that is stored under this instance is absent by itself, all jobs of another owner together. */
  function getAbsenceKey (id: string, owner: string): string {
    return owner === self ? id : owner
  }

  function isAbsent (id: string, owner: string): boolean {
    return owner === self ? registry.get(id) === undefined : !isAlive(owner)
  }

  function isOrphan (id: string, owner: string): boolean {
    return isAbsent(id, owner) && (owner === self || isSuccessorOf(owner))
  }

  /** Notes who is absent, and what owners that are absent for longer have stored since the last read. */
  function recordAbsences (open: ReadonlyMap<string, StoredJob>): void {
    const absent = [...open].filter(([id, { record }]) => isAbsent(id, record.owner))
    const keys = new Set(absent.map(([id, { record }]) => getAbsenceKey(id, record.owner)))
    for (const key of absences.keys()) if (!keys.has(key)) absences.delete(key)
    const known = new Set(absences.keys())
    for (const key of keys) if (!known.has(key)) absences.set(key, { since: clock.now() })
    for (const [id, { record: { owner }, revision }] of absent) {
      if (!known.has(owner) || revisions.get(id) === revision) continue
      absences.get(owner)!.lastChangeAt = clock.now()
    }
  }

  async function takeOverWhenDue (id: string, { record }: StoredJob): Promise<void> {
    const absence = absences.get(getAbsenceKey(id, record.owner))!
    const dueAt = computeTakeOverAt({ ...absence, triedAt: tries.get(id) })
    if (clock.now() < dueAt) {
      nextReadAt = Math.min(nextReadAt, dueAt)
      return
    }
    tries.set(id, clock.now())
    registry.update(id, toKnownJob(record), 'record')
    const isTaken = await jobManager.takeOver(id)
    log.info({
      job: id, owner: record.owner, epoch: record.epoch, absentMs: Math.round(clock.now() - absence.since), isTaken
    }, 'job without an owner found')
    metrics.count('jobs.orphaned')
  }

  return {
    start: (delayMs) => { nextReadAt = clock.now() + delayMs },
    recordLoss: () => {
      if (nextReadAt === Infinity) return
      nextReadAt = Math.min(nextReadAt, clock.now() + computeReadAfterLossMs(peers().length + 1, random()))
    },
    tick: () => {
      if (isReading || isLeaving() || clock.now() < nextReadAt) return
      isReading = true
      reconcile().catch((cause: unknown) => {
        log.error({ cause: describeCause(cause) }, 'stored records could not be compared with known jobs')
      }).finally(() => { isReading = false })
    }
  }
}
