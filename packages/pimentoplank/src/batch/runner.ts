/** A batch runner: maintains its lease, claims and processes chunks, and finalizes jobs. */
import {
  createLeaseObserver, createWakeup, isFinalState, jobRecord, OBJECT_KINDS, tryAcquireLease,
  type ChunkOwner, type JobRecord, type Lease, type StoredObject
} from '../shared'
import { createChunkClaimer, type TrackedJob } from './chunkClaimer'
import { createCollector } from './collector'
import type { RunnerContext, RunnerDeps } from './context'
import { createDispatcher } from './dispatcher'
import { createActiveChunk, type ClaimedChunk, type ActiveChunk } from './activeChunk'
import { createJobFinalizer } from './jobFinalizer'
import { createJobStates } from './jobStates'
import { createOwnerLeaseMonitor } from './ownerLeaseMonitor'
import type { RunnerSettings } from './settings'

/** Chunks are claimed while fewer ready items than this are queued per unit of parallelism. */
const READY_ITEMS_PER_SLOT = 2
/** Share of the grace after a cancellation for which a read of the job allows items to start; the rest covers drift. */
const JOB_STATE_SHARE = 0.9
/** Largest share by which the pause between scans is extended at random, to spread the scans of runners. */
const JITTER_SHARE = 0.3

export interface BatchRunnerOptions {
  /** Id of this instance. */
  instance: string
  /** Unique id of this process. */
  processId: string
  settings: RunnerSettings
}

export interface BatchRunnerStatus {
  chunksHeld: number
  /** Items that are waiting for a slot or running. */
  itemsInProgress: number
  isLeaseHeld: boolean
}

export interface BatchRunner {
  /** Starts a scan without waiting for the next timer. */
  wake: () => void
  status: () => BatchRunnerStatus
  /** Lets items finish within the grace period, preempts the rest, commits, and releases chunks and lease. */
  stop: () => Promise<void>
}

interface JobEntry {
  object: StoredObject
  tracked: TrackedJob
  /** True after a chunk was completed here, until a scan finds an open one; without one, the job can be finalized. */
  needsRescan: boolean
}

/** Starts a batch runner in this process. */
export function createBatchRunner (options: BatchRunnerOptions, deps: RunnerDeps): BatchRunner {
  const { instance, processId, settings } = options
  const { platform, feed, clock, metrics, log } = deps
  const random = deps.random ?? Math.random
  const leaseName = `batch-${instance}`
  const leaseDeps = { platform, clock, observer: createLeaseObserver({ clock }) }
  let lease: Lease | undefined
  /** Doubles with each scan that finds nothing, up to a limit; reset by a change of a job. */
  let scanPauseMs = settings.scan.everyMs

  const context: RunnerContext = {
    ...deps,
    random,
    settings,
    instance,
    getOwner: getChunkOwner,
    isLeaseHeld: () => lease?.isHeld() === true,
    jobStates: createJobStates({ platform, feed, clock, log, maxAgeMs: settings.cancelGraceMs * JOB_STATE_SHARE })
  }
  const ownerMonitor = createOwnerLeaseMonitor({ platform, clock, random })
  const claimer = createChunkClaimer(context, ownerMonitor)
  const jobFinalizer = createJobFinalizer(context, claimer)
  const activeChunks = new Map<string, ActiveChunk>()
  const jobs = new Map<string, JobEntry>()
  /** Newest processed revision by job, including ended jobs, so that no revision is parsed twice. */
  const lastRevisions = new Map<string, number>()
  const stopped = new AbortController()
  const wakeup = createWakeup(clock)
  const dispatcher = createDispatcher({ clock, parallelism: settings.parallelism, chunks: () => activeChunks.values() })
  const collector = createCollector(context, processId)
  const unsubscribe = feed.subscribe(OBJECT_KINDS.job, ({ name, object }) => {
    updateJob(name, object)
    scanPauseMs = settings.scan.everyMs
    wakeup.wake()
  })

  function getChunkOwner (): ChunkOwner | undefined {
    if (lease === undefined) return undefined
    return { lease: leaseName, leaseEpoch: lease.epoch(), lengthMs: settings.lease.lengthMs }
  }

  /** Applies the newest state of a job; an undefined object means that it was removed. */
  function updateJob (name: string, object: StoredObject | undefined): void {
    if (object !== undefined && object.revision <= (lastRevisions.get(name) ?? 0)) return
    if (object === undefined) lastRevisions.delete(name)
    else lastRevisions.set(name, object.revision)
    const before = jobs.get(name)
    const job = jobRecord.safeParse(object?.value).data
    if (object === undefined || job === undefined || isFinalState(job.state)) {
      jobs.delete(name)
      jobFinalizer.forget(name)
      context.jobStates.forget(name)
    } else {
      const isSame = before?.tracked.job.uploadId === job.uploadId
      const ended = isSame ? before.tracked.ended : new Set<number>()
      jobs.set(name, { object, tracked: { name, job, ended }, needsRescan: before?.needsRescan ?? false })
    }
    if (job?.state !== 'running') cancelChunks(name)
  }

  function cancelChunks (job: string): void {
    for (const chunk of activeChunks.values()) if (chunk.job === job) chunk.cancel()
  }

  /** Applies changes for which no event was received, such as jobs from before the start. */
  function reconcileJobs (): void {
    const current = feed.objects(OBJECT_KINDS.job)
    for (const [name, object] of current) updateJob(name, object)
    for (const name of [...lastRevisions.keys()]) if (!current.has(name)) updateJob(name, undefined)
  }

  async function maintainLease (): Promise<void> {
    const { lengthMs, renewEveryMs } = settings.lease
    while (!stopped.signal.aborted) {
      if (lease === undefined || lease.lost.aborted) await acquireLease(lengthMs, renewEveryMs)
      await clock.sleep(renewEveryMs, stopped.signal)
    }
  }

  async function acquireLease (lengthMs: number, renewEveryMs: number): Promise<void> {
    if (lease !== undefined) log.warn({ lease: leaseName }, 'lease lost')
    lease = undefined
    for (const chunk of activeChunks.values()) chunk.release(0)
    const acquired = await tryAcquireLease(leaseDeps, { name: leaseName, holder: processId, lengthMs, renewEveryMs })
    if (acquired.isErr() || acquired.value === null) return
    lease = acquired.value
    if (stopped.signal.aborted) return await lease.release()
    log.info({ lease: leaseName, epoch: lease.epoch() }, 'lease acquired')
    wakeup.wake()
  }

  async function monitorOwners (): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(settings.lease.renewEveryMs, stopped.signal)
      if (!stopped.signal.aborted) await ownerMonitor.pollLeases()
    }
  }

  function shouldClaim (): boolean {
    if (stopped.signal.aborted || !context.isLeaseHeld()) return false
    return activeChunks.size < settings.chunksHeld &&
      dispatcher.countReadyItems() < settings.parallelism * READY_ITEMS_PER_SLOT
  }

  function hasTargets ({ models }: JobRecord): boolean {
    const entries = models.map((name) => deps.config.current().models.get(name))
    return entries.some((model) => model === undefined || deps.membership.targets(model.service).length > 0)
  }

  function countActiveChunks (job: string): number {
    return [...activeChunks.values()].filter((chunk) => chunk.job === job).length
  }

  /** Returns the running jobs in scan order: those with the fewest active chunks first, ties in random order. */
  function getScanOrder (): JobEntry[] {
    return [...jobs.values()]
      .filter(({ tracked }) => tracked.job.state === 'running' && hasTargets(tracked.job))
      .map((entry) => ({ entry, order: countActiveChunks(entry.tracked.name) + random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ entry }) => entry)
  }

  async function claimChunks (): Promise<boolean> {
    let hasClaimed = false
    for (const { tracked } of getScanOrder().slice(0, settings.scan.jobsPerScan)) {
      if (!shouldClaim()) break
      const claimed = await claimer.claimOne(tracked, (chunk) => activeChunks.has(chunk))
      if (claimed === null) continue
      startChunk(claimed)
      hasClaimed = true
    }
    return hasClaimed
  }

  function startChunk (claimed: ClaimedChunk): void {
    const chunk = createActiveChunk(context, claimed)
    activeChunks.set(claimed.name, chunk)
    awaitChunkEnd(chunk)
    // The job may have been cancelled, or a stop requested, while the claim was being made.
    const job = jobs.get(claimed.job)?.tracked.job
    if (job?.state !== 'running') chunk.cancel()
    else if (stopped.signal.aborted) chunk.release(0)
    dispatcher.wake()
  }

  async function awaitChunkEnd (chunk: ActiveChunk): Promise<void> {
    const end = await chunk.ended
    activeChunks.delete(chunk.name)
    const job = jobs.get(chunk.job)
    if (job !== undefined && end === 'complete') job.needsRescan = true
    metrics.count(`batch.chunks.${end}`)
    wakeup.wake()
  }

  async function finalizeJobs (): Promise<void> {
    for (const [name, entry] of [...jobs]) {
      const { object, tracked } = entry
      if (entry.needsRescan) entry.needsRescan = !await claimer.hasOpenChunk(tracked)
      const mayBeComplete = tracked.ended.size === tracked.job.chunks
      if (tracked.job.state === 'cancelling' || mayBeComplete) await jobFinalizer.tryFinalize(name, object)
    }
  }

  async function runScans (): Promise<void> {
    while (!stopped.signal.aborted) {
      reconcileJobs()
      const hasClaimed = await claimChunks()
      await finalizeJobs()
      metrics.gauge('batch.chunks.held', activeChunks.size)
      if (hasClaimed && shouldClaim()) continue
      const isBusy = hasClaimed || activeChunks.size > 0 || [...jobs.values()].some(({ needsRescan }) => needsRescan)
      if (isBusy) scanPauseMs = settings.scan.everyMs
      const pauseMs = scanPauseMs
      scanPauseMs = Math.min(pauseMs * 2, settings.scan.maxEveryMs)
      await wakeup.wait(pauseMs * (1 + random() * JITTER_SHARE))
    }
  }

  async function stop (): Promise<void> {
    stopped.abort()
    wakeup.wake()
    unsubscribe()
    const ends = [...activeChunks.values()].map(async (chunk) => {
      chunk.release(settings.stopGraceMs)
      await chunk.ended
    })
    await Promise.all([dispatcher.stop(), ...ends, collector.stop(), ...loops])
    await Promise.all([...activeChunks.values()].map(async (chunk) => await chunk.ended))
    await lease?.release()
  }

  const loops = [maintainLease(), monitorOwners(), runScans()]
  return {
    wake: wakeup.wake,
    status: () => ({
      chunksHeld: activeChunks.size,
      itemsInProgress: [...activeChunks.values()].reduce((sum, chunk) => sum + chunk.getRunningTasks().length, 0),
      isLeaseHeld: context.isLeaseHeld()
    }),
    stop
  }
}
