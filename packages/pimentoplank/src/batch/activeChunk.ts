/** Processing of one claimed chunk: the queue of its items and the loop that commits their results. */
import { createBitmap, createWakeup, type CheckpointRecord, type ChunkRecord, type Log } from '../shared'
import type { RunnerContext } from './context'
import { createUnknownResult } from './itemResult'
import { createCheckpointWriter, type ChunkEnd, type CommitOutcome } from './checkpointWriter'
import { createItemTask, type ItemTask } from './itemTask'
import { runItem, type ItemOutcome } from './runItem'

/** Backoff before a failed commit is retried, in milliseconds. */
const COMMIT_RETRY_MS = 1000
/** How long the outcome of one checkpoint read is reused while the lease is not known to be held, in milliseconds. */
const VERIFY_INTERVAL_MS = 1000
/** Backoff before an item that may not be dispatched now is tried again, in milliseconds. */
const BLOCKED_PAUSE_MS = 500

export interface ClaimedChunk {
  name: string
  /** Name of the job. */
  job: string
  uploadId: string
  account: string
  checkpoint: CheckpointRecord
  revision: number
  items: ChunkRecord['items']
}

/** How processing of the chunk ended on this runner; `lost` when the claim was lost or the end was not committed. */
export type ActiveChunkEnd = ChunkEnd | 'lost'

export interface ActiveChunk {
  name: string
  job: string
  /** Counts the items that are ready now, except those of parked models. */
  countReadyItems: (isParked: (model: string) => boolean) => number
  /** Returns the time of the next attempt, on the runner's clock; undefined when the queue is empty. */
  getNextAttemptAt: () => number | undefined
  /** Removes the next ready item that passes the filter from the queue and returns it. */
  dequeue: (filter: (task: ItemTask) => boolean) => ItemTask | undefined
  /** Runs a dequeued item once; it is queued again unless it has a result. */
  run: (task: ItemTask) => Promise<ItemOutcome>
  /** Returns the items that are waiting for a slot or running. */
  getRunningTasks: () => readonly ItemTask[]
  /** Stops immediately, cancels running streams and seals the chunk. */
  cancel: () => void
  /** Releases the chunk, after running items had this long to finish. */
  release: (graceMs: number) => void
  /** Resolves when this runner no longer processes the chunk. */
  ended: Promise<ActiveChunkEnd>
}

/** Starts processing a claimed chunk. */
export function createActiveChunk (context: RunnerContext, claimed: ClaimedChunk): ActiveChunk {
  const { clock, settings, platform, metrics } = context
  const { name, job, uploadId, checkpoint, items } = claimed
  const log: Log = context.log.child({ job, chunk: name, epoch: checkpoint.epoch })
  const writer = createCheckpointWriter({
    platform, name, claim: checkpoint, revision: claimed.revision, maxSegmentBytes: settings.commit.maxBytes
  })
  const stopped = new AbortController()
  const wakeup = createWakeup(clock)
  const running = new Set<ItemTask>()
  let queue = createOpenTasks()
  let requestedEnd: Exclude<ChunkEnd, 'complete'> | undefined
  let graceEndsAt = 0
  let oldestPendingAt: number | undefined
  let isLost = false
  /** Latest check of the claim while the lease was not known to be held; items that ask in the meantime wait for it. */
  let verification: { startedAt: number, mayRun: Promise<boolean> } | undefined
  let lastPlatformContactAt = clock.now()

  /**
   * Creates tasks for the items without a result. An at-most-once item that an earlier owner may have dispatched gets
   * an unknown result instead.
   */
  function createOpenTasks (): ItemTask[] {
    const started = createBitmap(checkpoint.items, checkpoint.started)
    const tasks: ItemTask[] = []
    for (const [index, item] of items.entries()) {
      if (writer.hasResult(index)) continue
      if (started.has(index)) writer.record(index, createUnknownResult(item, 'an earlier runner may have run it'))
      else tasks.push(createItemTask(name, claimed.account, index, item))
    }
    return tasks
  }

  function isReady (task: ItemTask): boolean {
    return task.notBefore <= clock.now()
  }

  function dequeueTask (filter: (task: ItemTask) => boolean): ItemTask | undefined {
    if (requestedEnd !== undefined || isLost) return undefined
    const task = queue.find((candidate) => isReady(candidate) && filter(candidate))
    if (task === undefined) return undefined
    queue = queue.filter((other) => other !== task)
    running.add(task)
    return task
  }

  /** Checks that this runner may still dispatch items of the chunk: it holds the claim, and the job runs. */
  async function mayDispatch (): Promise<boolean> {
    if (!await mayHoldClaim()) return false
    // Last, since its answer is what a cancellation relies on.
    const state = await context.jobStates.confirm({ name: job, uploadId, since: claimed.revision })
    if (state === 'ended') requestEnd('sealed', 0)
    return state === 'running'
  }

  /**
   * Checks the claim by the lease, or by reading the checkpoint while the lease is not known to be held. A claim that
   * can't be read counts as held within the bounds of the settings.
   */
  async function mayHoldClaim (): Promise<boolean> {
    const now = clock.now()
    if (context.isLeaseHeld()) {
      lastPlatformContactAt = now
      return true
    }
    if (verification === undefined || now - verification.startedAt >= VERIFY_INTERVAL_MS) {
      verification = { startedAt: now, mayRun: verifyClaim(now) }
    }
    return await verification.mayRun
  }

  async function verifyClaim (startedAt: number): Promise<boolean> {
    const outcome = await writer.verify()
    if (outcome === 'lost') markLost()
    if (outcome === 'committed') lastPlatformContactAt = startedAt
    const { runMs, maxPendingBytes } = settings.outage
    return outcome !== 'lost' && startedAt - lastPlatformContactAt < runMs && writer.getPendingBytes() < maxPendingBytes
  }

  function markLost (): void {
    isLost = true
    stopped.abort()
    wakeup.wake()
  }

  /** Writes the intent of an item, together with those of the next queued at-most-once items. */
  async function writeIntents (task: ItemTask): Promise<CommitOutcome> {
    const next = queue.filter(({ item, index }) => item.noRepeat && !writer.hasIntent(index))
    const intents = [task, ...next].slice(0, settings.intentGroup).map(({ index }) => index)
    return await commit({ intents })
  }

  async function commit (change: Parameters<typeof writer.commit>[0]): Promise<CommitOutcome> {
    const outcome = await writer.commit(change)
    metrics.count(`batch.commits.${outcome}`)
    if (outcome === 'lost') markLost()
    if (outcome === 'committed') {
      lastPlatformContactAt = clock.now()
      oldestPendingAt = writer.countPendingResults() > 0 ? lastPlatformContactAt : undefined
    }
    return outcome
  }

  async function attemptTask (task: ItemTask): Promise<ItemOutcome> {
    const postpone = (): ItemOutcome => {
      task.notBefore = clock.now() + BLOCKED_PAUSE_MS
      return { type: 'parked' }
    }
    if (!await mayDispatch()) return postpone()
    if (task.item.noRepeat && !writer.hasIntent(task.index)) {
      const outcome = await writeIntents(task)
      // If the response was lost, a later commit may still confirm the intent, and the item is then tried again.
      if (outcome !== 'committed' || !writer.hasIntent(task.index)) return postpone()
    }
    if (stopped.signal.aborted) return { type: 'retry' }
    return await runItem(context, task, { signal: stopped.signal, mayDispatch })
  }

  async function runTask (task: ItemTask): Promise<ItemOutcome> {
    const outcome = await attemptTask(task)
    running.delete(task)
    if (outcome.type === 'result') {
      writer.record(task.index, outcome.result)
      oldestPendingAt ??= clock.now()
      metrics.count(`batch.items.${outcome.result.status}`)
    } else if (task.failedRuns === 0) {
      queue.unshift(task)
    } else {
      queue.push(task)
    }
    wakeup.wake()
    return outcome
  }

  function isCommitDue (): boolean {
    const { items: maxItems, maxBytes, everyMs } = settings.commit
    if (writer.countPendingResults() >= maxItems || writer.getPendingBytes() >= maxBytes) return true
    return oldestPendingAt !== undefined && clock.now() - oldestPendingAt >= everyMs
  }

  function computeCommitWaitMs (): number {
    if (oldestPendingAt === undefined) return settings.commit.everyMs
    return Math.max(1, oldestPendingAt + settings.commit.everyMs - clock.now())
  }

  /** Commits results until every item has one, the claim is lost or an early end is requested. */
  async function commitResults (): Promise<ActiveChunkEnd> {
    for (;;) {
      if (isLost) return 'lost'
      if (requestedEnd !== undefined) return await endEarly(requestedEnd)
      const isFinished = queue.length === 0 && running.size === 0
      if (isFinished || isCommitDue()) {
        const outcome = await commit(isFinished ? { end: 'complete' } : {})
        if (outcome === 'committed' && isFinished) return 'complete'
        if (outcome === 'unavailable') await wakeup.wait(COMMIT_RETRY_MS)
        continue
      }
      await wakeup.wait(computeCommitWaitMs())
    }
  }

  async function endEarly (end: Exclude<ChunkEnd, 'complete'>): Promise<ActiveChunkEnd> {
    while (running.size > 0 && clock.now() < graceEndsAt) await wakeup.wait(graceEndsAt - clock.now())
    stopped.abort()
    // A stream that does not react to its cancellation must not keep the process from stopping.
    const streamsDeadline = clock.now() + settings.stopGraceMs
    while (running.size > 0 && clock.now() < streamsDeadline) await wakeup.wait(streamsDeadline - clock.now())
    const withdrawn = resolveIntents(end)
    const commitDeadline = clock.now() + (end === 'released' ? settings.stopGraceMs : settings.outage.runMs)
    for (;;) {
      const isComplete = [...queue, ...running].every(({ index }) => writer.hasResult(index))
      const outcome = await commit({ end: isComplete ? 'complete' : end, withdrawn })
      if (outcome === 'committed') return isComplete ? 'complete' : end
      if (outcome === 'lost' || clock.now() > commitDeadline) return 'lost'
      await clock.sleep(COMMIT_RETRY_MS)
    }
  }

  /**
   * Records unknown results for dispatched items with an intent when the chunk is sealed.
   *
   * @returns indexes of the items with an intent that were not dispatched, whose intents can be withdrawn
   */
  function resolveIntents (end: ChunkEnd): number[] {
    const intended = [...queue, ...running].filter(({ index }) => writer.hasIntent(index))
    for (const { index, item, isDispatched } of intended) {
      if (isDispatched && end === 'sealed') writer.record(index, createUnknownResult(item, 'the job was cancelled'))
    }
    return intended.filter(({ isDispatched }) => !isDispatched).map(({ index }) => index)
  }

  function requestEnd (end: Exclude<ChunkEnd, 'complete'>, graceMs: number): void {
    if (requestedEnd === 'sealed') return
    requestedEnd = end
    graceEndsAt = clock.now() + graceMs
    if (graceMs === 0) stopped.abort()
    wakeup.wake()
  }

  async function runToEnd (): Promise<ActiveChunkEnd> {
    const end = await commitResults()
    stopped.abort()
    log.info({ end }, 'chunk processing ended')
    return end
  }

  const ended = runToEnd()

  return {
    name,
    job,
    countReadyItems: (isParked) => {
      if (requestedEnd !== undefined || isLost) return 0
      return queue.filter((task) => isReady(task) && !isParked(String(task.item.body.model))).length
    },
    getNextAttemptAt: () => queue.length === 0 ? undefined : Math.min(...queue.map(({ notBefore }) => notBefore)),
    dequeue: dequeueTask,
    run: runTask,
    getRunningTasks: () => [...running],
    cancel: () => requestEnd('sealed', 0),
    release: (graceMs) => requestEnd('released', graceMs),
    ended
  }
}
