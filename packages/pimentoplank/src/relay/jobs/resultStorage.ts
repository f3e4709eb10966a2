/** Stores the results of owned jobs as segments, which only the latest owner can add to. */
import { err, ok, type Result } from 'neverthrow'
import { describeCause, PlatformRejected, type Clock, type Log, type Metrics, type PlatformError } from '../../shared'
import type { JobRegistry } from './jobRegistry'
import type { JobStore } from './jobStore'
import { countEncodedBytes, getMaxContentBytes, takeFitting } from './objectSize'
import type { OwnedJob } from './ownedJob'
import type { ItemResult } from './records'

export interface ResultStorageRules {
  /** Longest time that a result is held back to be stored in a batch, in milliseconds. */
  storeDelayMs: number
  /** Results of a job that is due within this time are stored at once, in milliseconds. */
  dueSoonMs: number
  /** Size of an object of the platform, in bytes; results that don't fit one are stored as several. */
  maxObjectBytes: number
}

export interface ResultStorageOptions {
  self: string
  jobRegistry: JobRegistry
  store: JobStore
  /** True while results are not held back, since this instance stops. */
  isLeaving: () => boolean
  /** Called once no result of a job waits to be stored. */
  onStored: (job: OwnedJob) => void
  /** Returns the pause after a number of failures in a row, in milliseconds. */
  computeBackoff: (failures: number) => number
  /** Ends all waits. */
  signal: AbortSignal
  rules: ResultStorageRules
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface ResultStorage {
  /** Schedules the pending results of a job to be stored. */
  schedule: (job: OwnedJob) => void
  /** Reads the results of a job that was taken over, and ends the time in which a former owner can store any. */
  takeSegments: (job: string, epoch: number) => Promise<Result<ItemResult[][], PlatformError>>
  /** True while results may be stored of which this instance doesn't know it yet. */
  isInDoubt: (job: OwnedJob) => boolean
  /** Waits until all pending results are stored, or `ms` milliseconds have passed. */
  flushAll: (ms: number) => Promise<void>
}

/** A write of results that takes longer than this may be seen by others before it is answered, in milliseconds. */
const MAX_WRITE_MS = 300

/** Creates the result storage of an instance. */
export function createResultStorage (options: ResultStorageOptions): ResultStorage {
  const { self, jobRegistry: registry, store, signal, rules, clock, metrics, log } = options
  /** Store operations in progress. */
  const storing = new Map<OwnedJob, Promise<void>>()
  /** When the first write of the results began that no answer has confirmed, on the monotonic clock. */
  const unconfirmedSince = new Map<OwnedJob, number>()

  function storePending (job: OwnedJob): void {
    if (job.pendingResults().length === 0) return
    if (!storing.has(job)) {
      const task = storeResults(job).finally(() => storing.delete(job))
      storing.set(job, task)
    }
  }

  /** Computes the time until the pending results of a job must be stored, in milliseconds. */
  function computeStoreDelay (job: OwnedJob): number {
    if (job.openItems().size === 0 || options.isLeaving()) return 0
    const now = clock.now()
    const waited = now - (job.pendingSince() ?? now)
    return Math.max(0, Math.min(rules.storeDelayMs - waited, job.dueAt - rules.dueSoonMs - now))
  }

  async function storeResults (job: OwnedJob): Promise<void> {
    let failures = 0
    let maxBytes = getMaxContentBytes(rules.maxObjectBytes)
    while (job.pendingResults().length > 0 && registry.get(job.id) === job && !signal.aborted) {
      const waitMs = computeStoreDelay(job)
      if (waitMs > 0) {
        await clock.sleep(Math.min(waitMs, rules.storeDelayMs), signal)
        continue
      }
      const { epoch } = job.record()
      const results = takeFitting(job.pendingResults(), maxBytes).map((result) => limitSize(job, result))
      if (!unconfirmedSince.has(job)) unconfirmedSince.set(job, clock.now())
      const written = await store.writeSegment(job.id, job.segmentCount(), { results, epoch })
      if (written.isOk()) {
        failures = 0
        maxBytes = getMaxContentBytes(rules.maxObjectBytes)
        unconfirmedSince.delete(job)
        const { results: stored, epoch: writerEpoch = 0 } = written.value
        if (registry.get(job.id) === job) job.appendSegment(stored)
        log.info({
          job: job.id, segment: job.segmentCount(), results: stored.length, open: job.openItems().size, writerEpoch
        }, 'results stored')
        if (writerEpoch > epoch) await learnOwner(job)
        continue
      }
      failures += 1
      const bytes = countEncodedBytes(results)
      log.warn({
        job: job.id, failures, results: results.length, bytes, cause: describeCause(written.error)
      }, 'results could not be stored')
      // An object that is refused, whatever for, must not hold up the results that fit a smaller one.
      if (written.error instanceof PlatformRejected && results.length > 1) {
        maxBytes = Math.floor(bytes / 2)
        continue
      }
      metrics.countRetry('platformUnavailable')
      await clock.sleep(options.computeBackoff(failures), signal)
    }
    unconfirmedSince.delete(job)
    options.onStored(job)
  }

  /** A result that doesn't fit any object is listed as failed, and doesn't hold up the others. */
  function limitSize (job: OwnedJob, result: ItemResult): ItemResult {
    const bytes = countEncodedBytes(result)
    if (bytes <= getMaxContentBytes(rules.maxObjectBytes)) return result
    log.error({
      job: job.id, item: result.item, bytes, maxObjectBytes: rules.maxObjectBytes
    }, 'item failed: its result exceeds the size of an object')
    return { item: result.item, completed: false, text: '' }
  }

  /** Reads who owns a job in which a later owner has stored results, before anything more of it is stored. */
  async function learnOwner (job: OwnedJob): Promise<void> {
    for (let failures = 1; registry.get(job.id) === job && !signal.aborted; failures++) {
      const found = await store.read(job.id)
      if (found.isOk()) {
        const { owner, epoch, ended } = found.value?.record ?? { ...job.record(), ended: true }
        registry.update(job.id, { owner, epoch, ended, isAccepted: true }, 'record')
        if (found.value !== undefined && owner === self) job.setStored(found.value)
        return
      }
      await clock.sleep(options.computeBackoff(failures), signal)
    }
  }

  /** Reads the results stored so far, and writes the segment after which no former owner can store any. */
  async function takeSegments (id: string, epoch: number): Promise<Result<ItemResult[][], PlatformError>> {
    const segments: ItemResult[][] = []
    for (;;) {
      const segment = await repeat(id, epoch, async () => await store.readSegment(id, segments.length))
      if (segment.isErr()) return err(segment.error)
      if (segment.value !== undefined) {
        segments.push(segment.value)
        continue
      }
      const own = { results: [], epoch }
      const written = await repeat(id, epoch, async () => await store.writeSegment(id, segments.length, own))
      if (written.isErr()) return err(written.error)
      segments.push(written.value.results)
      if (written.value.epoch === epoch) return ok(segments)
    }
  }

  /** Repeats a call until it is answered: the record names this instance as the owner, so that no other one will. */
  async function repeat<Value> (
    id: string, epoch: number, call: () => Promise<Result<Value, PlatformError>>
  ): Promise<Result<Value, PlatformError>> {
    for (let failures = 1; ; failures++) {
      const done = await call()
      const known = registry.getKnown(id)
      const isOver = known !== undefined && (known.ended || known.epoch > epoch)
      if (done.isOk() || isOver || signal.aborted || options.isLeaving()) return done
      log.warn({ job: id, epoch, failures, cause: describeCause(done.error) }, 'results of a job could not be taken over')
      await clock.sleep(options.computeBackoff(failures), signal)
    }
  }

  return {
    schedule: storePending,
    takeSegments,
    isInDoubt: (job) => clock.now() - (unconfirmedSince.get(job) ?? Infinity) > MAX_WRITE_MS,
    flushAll: async (ms) => {
      const tasks = Promise.all([...storing.values()])
      await Promise.race([tasks, clock.sleep(ms)])
    }
  }
}
