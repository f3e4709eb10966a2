/** A batch runner: holds its lease, claims chunks, works them, and brings jobs to their end. */
import {
  createLeaseObserver, createWakeup, isFinalState, jobRecord, OBJECT_KINDS, tryAcquireLease,
  type ChunkOwner, type JobRecord, type Lease, type StoredObject
} from '../shared'
import { createClaims, type KnownJob } from './claims'
import { createCollector } from './collector'
import type { RunnerContext, RunnerDeps } from './context'
import { createDispatcher } from './dispatcher'
import { createHeldChunk, type ClaimedChunk, type HeldChunk } from './heldChunk'
import { createJobEnds } from './jobEnds'
import { createOwnerWatch } from './ownerWatch'
import type { RunnerSettings } from './settings'

/** Items ready in hand for each item that may run, before more chunks are claimed. */
const READY_PER_SLOT = 2
/** A look for work comes up to this share later than asked, so that runners spread. */
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
  itemsInHand: number
  isLeaseHeld: boolean
}

export interface BatchRunner {
  /** Looks for work at once. */
  wake: () => void
  status: () => BatchRunnerStatus
  /** Finishes or preempts what runs, commits, gives chunks and lease back. */
  stop: () => Promise<void>
}

interface ParsedJob {
  object: StoredObject
  known: KnownJob
  /** True after a chunk was completed here, until another one is seen open: the last one done ends the job. */
  needsLook: boolean
}

/** Starts a batch runner in this process. */
export function createBatchRunner (options: BatchRunnerOptions, deps: RunnerDeps): BatchRunner {
  const { instance, processId, settings } = options
  const { platform, feed, clock, metrics, log } = deps
  const random = deps.random ?? Math.random
  const leaseName = `batch-${instance}`
  const leaseDeps = { platform, clock, observer: createLeaseObserver({ clock }) }
  let lease: Lease | undefined
  /** Grows while nothing is found; news of a job bring it down again. */
  let scanPauseMs = settings.scan.everyMs

  const context: RunnerContext = {
    ...deps,
    random,
    settings,
    instance,
    owner,
    isLeaseHeld: () => lease?.isHeld() === true
  }
  const owners = createOwnerWatch({ platform, clock, random })
  const claims = createClaims(context, owners)
  const jobEnds = createJobEnds(context, claims)
  const held = new Map<string, HeldChunk>()
  const jobs = new Map<string, ParsedJob>()
  /** Newest revision taken in of each job, ended ones included, so that none is parsed twice. */
  const notedRevisions = new Map<string, number>()
  const stopped = new AbortController()
  const wakeup = createWakeup(clock)
  const dispatcher = createDispatcher({ clock, parallelism: settings.parallelism, chunks: () => held.values() })
  const collector = createCollector(context, processId)
  const unsubscribe = feed.subscribe(OBJECT_KINDS.job, ({ name, object }) => {
    noteJob(name, object)
    scanPauseMs = settings.scan.everyMs
    wakeup.wake()
  })

  function owner (): ChunkOwner | undefined {
    if (lease === undefined) return undefined
    return { lease: leaseName, leaseEpoch: lease.epoch(), lengthMs: settings.lease.lengthMs }
  }

  /** Takes in the newest state of a job; undefined when it is gone. */
  function noteJob (name: string, object: StoredObject | undefined): void {
    if (object !== undefined && object.revision <= (notedRevisions.get(name) ?? 0)) return
    if (object === undefined) notedRevisions.delete(name)
    else notedRevisions.set(name, object.revision)
    const before = jobs.get(name)
    const job = jobRecord.safeParse(object?.value).data
    if (object === undefined || job === undefined || isFinalState(job.state)) {
      jobs.delete(name)
      jobEnds.forget(name)
    } else {
      const isSame = before?.known.job.uploadId === job.uploadId
      const ended = isSame ? before.known.ended : new Set<number>()
      jobs.set(name, { object, known: { name, job, ended }, needsLook: before?.needsLook ?? false })
    }
    if (job?.state !== 'running') cancelChunks(name)
  }

  function cancelChunks (job: string): void {
    for (const chunk of held.values()) if (chunk.job === job) chunk.cancel()
  }

  /** Catches what events did not tell, such as jobs from before the start. */
  function readFeed (): void {
    const current = feed.objects(OBJECT_KINDS.job)
    for (const [name, object] of current) noteJob(name, object)
    for (const name of [...notedRevisions.keys()]) if (!current.has(name)) noteJob(name, undefined)
  }

  async function keepLease (): Promise<void> {
    const { lengthMs, renewEveryMs } = settings.lease
    while (!stopped.signal.aborted) {
      if (lease === undefined || lease.lost.aborted) await acquireLease(lengthMs, renewEveryMs)
      await clock.sleep(renewEveryMs, stopped.signal)
    }
  }

  async function acquireLease (lengthMs: number, renewEveryMs: number): Promise<void> {
    if (lease !== undefined) log.warn({ lease: leaseName }, 'lease lost')
    lease = undefined
    for (const chunk of held.values()) chunk.giveBack(0)
    const acquired = await tryAcquireLease(leaseDeps, { name: leaseName, holder: processId, lengthMs, renewEveryMs })
    if (acquired.isErr() || acquired.value === null) return
    lease = acquired.value
    if (stopped.signal.aborted) return await lease.release()
    log.info({ lease: leaseName, epoch: lease.epoch() }, 'lease taken')
    wakeup.wake()
  }

  async function watchOwners (): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(settings.lease.renewEveryMs, stopped.signal)
      if (!stopped.signal.aborted) await owners.readRound()
    }
  }

  function wantsChunk (): boolean {
    if (stopped.signal.aborted || !context.isLeaseHeld()) return false
    return held.size < settings.chunksHeld && dispatcher.readyItems() < settings.parallelism * READY_PER_SLOT
  }

  function hasTargets ({ models }: JobRecord): boolean {
    const entries = models.map((name) => deps.config.current().models.get(name))
    return entries.some((model) => model === undefined || deps.membership.targets(model.service).length > 0)
  }

  function chunksOf (job: string): number {
    return [...held.values()].filter((chunk) => chunk.job === job).length
  }

  /** Running jobs in the order in which they are looked at: least held here first, else by chance. */
  function jobsToScan (): ParsedJob[] {
    return [...jobs.values()]
      .filter(({ known }) => known.job.state === 'running' && hasTargets(known.job))
      .map((parsed) => ({ parsed, order: chunksOf(parsed.known.name) + random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ parsed }) => parsed)
  }

  async function claimSome (): Promise<boolean> {
    let hasClaimed = false
    for (const { known } of jobsToScan().slice(0, settings.scan.jobsPerScan)) {
      if (!wantsChunk()) break
      const claimed = await claims.claimOne(known, (chunk) => held.has(chunk))
      if (claimed === null) continue
      hold(claimed)
      hasClaimed = true
    }
    return hasClaimed
  }

  function hold (claimed: ClaimedChunk): void {
    const chunk = createHeldChunk(context, claimed)
    held.set(claimed.name, chunk)
    release(chunk)
    // The job may have been cancelled, or the process told to stop, while the claim was under way.
    const job = jobs.get(claimed.job)?.known.job
    if (job?.state !== 'running') chunk.cancel()
    else if (stopped.signal.aborted) chunk.giveBack(0)
    dispatcher.wake()
  }

  async function release (chunk: HeldChunk): Promise<void> {
    const end = await chunk.ended
    held.delete(chunk.name)
    const job = jobs.get(chunk.job)
    if (job !== undefined && end === 'complete') job.needsLook = true
    metrics.count(`batch.chunks.${end}`)
    wakeup.wake()
  }

  async function endJobs (): Promise<void> {
    for (const [name, parsed] of [...jobs]) {
      const { object, known } = parsed
      if (parsed.needsLook) parsed.needsLook = !await claims.hasOpenChunk(known)
      const mayBeComplete = known.ended.size === known.job.chunks
      if (known.job.state === 'cancelling' || mayBeComplete) await jobEnds.tryEnd(name, object)
    }
  }

  async function scan (): Promise<void> {
    while (!stopped.signal.aborted) {
      readFeed()
      const hasClaimed = await claimSome()
      await endJobs()
      metrics.gauge('batch.chunks.held', held.size)
      if (hasClaimed && wantsChunk()) continue
      const isBusy = hasClaimed || held.size > 0 || [...jobs.values()].some(({ needsLook }) => needsLook)
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
    const ends = [...held.values()].map(async (chunk) => {
      chunk.giveBack(settings.stopGraceMs)
      await chunk.ended
    })
    await Promise.all([dispatcher.stop(), ...ends, collector.stop(), ...loops])
    await Promise.all([...held.values()].map(async (chunk) => await chunk.ended))
    await lease?.release()
  }

  const loops = [keepLease(), watchOwners(), scan()]
  return {
    wake: wakeup.wake,
    status: () => ({
      chunksHeld: held.size,
      itemsInHand: [...held.values()].reduce((sum, chunk) => sum + chunk.running().length, 0),
      isLeaseHeld: context.isLeaseHeld()
    }),
    stop
  }
}
