/** One claimed chunk: its items in hand, and the task that commits their results. */
import { createBitmap, createWakeup, type CheckpointRecord, type ChunkRecord, type Log } from '../shared'
import type { RunnerContext } from './context'
import { unknownResult } from './itemResult'
import { createLedger, type ChunkEnd, type CommitOutcome } from './ledger'
import { createItemTask, runItem, type ItemOutcome, type ItemTask } from './runItem'

/** Pause before a commit that the platform did not take is tried again, in milliseconds. */
const COMMIT_RETRY_MS = 1000
/** How long one look at the checkpoint vouches for the claim while the lease is in doubt, in milliseconds. */
const VERIFY_EVERY_MS = 1000
const BLOCKED_PAUSE_MS = 500

export interface ClaimedChunk {
  name: string
  /** Name of the job. */
  job: string
  account: string
  checkpoint: CheckpointRecord
  revision: number
  items: ChunkRecord['items']
}

/** How the work on a chunk ended here. */
export type HeldChunkEnd = ChunkEnd | 'lost'

export interface HeldChunk {
  name: string
  job: string
  /** Items that could be tried now, those of parked models left out. */
  readyItems: (isParked: (model: string) => boolean) => number
  /** Time on the runner's clock at which the next item may be tried; undefined when none waits. */
  nextAt: () => number | undefined
  /** Takes the next item that may be tried and that the filter lets pass. */
  take: (filter: (task: ItemTask) => boolean) => ItemTask | undefined
  /** Tries a taken item. */
  work: (task: ItemTask) => Promise<ItemOutcome>
  /** Items that are waiting for a slot or running. */
  running: () => readonly ItemTask[]
  /** Stops at once, cancels running streams and seals the chunk. */
  cancel: () => void
  /** Gives the chunk back, after running items had this long to finish. */
  giveBack: (graceMs: number) => void
  /** Resolves when the chunk is out of this runner's hands. */
  ended: Promise<HeldChunkEnd>
}

/** Starts the work on a claimed chunk. */
export function createHeldChunk (context: RunnerContext, claimed: ClaimedChunk): HeldChunk {
  const { clock, settings, platform, metrics } = context
  const { name, job, checkpoint, items } = claimed
  const log: Log = context.log.child({ job, chunk: name, epoch: checkpoint.epoch })
  const ledger = createLedger({
    platform, name, claim: checkpoint, revision: claimed.revision, maxSegmentBytes: settings.commit.maxBytes
  })
  const stopped = new AbortController()
  const wakeup = createWakeup(clock)
  const running = new Set<ItemTask>()
  let queue = openItems()
  let endAs: Exclude<ChunkEnd, 'complete'> | undefined
  let graceEndsAt = 0
  let oldestPendingAt: number | undefined
  let isLost = false
  let verifiedAt = -Infinity
  let lastContactAt = clock.now()
  let mayRun = true

  /** Items without a result; one not to be repeated that an earlier holder may have dispatched is settled here. */
  function openItems (): ItemTask[] {
    const started = createBitmap(checkpoint.items, checkpoint.started)
    const tasks: ItemTask[] = []
    for (const [index, item] of items.entries()) {
      if (ledger.hasResult(index)) continue
      if (started.has(index)) ledger.record(index, unknownResult(item, 'the runner that dispatched it is gone'))
      else tasks.push(createItemTask(name, claimed.account, index, item))
    }
    return tasks
  }

  function isReady (task: ItemTask): boolean {
    return task.notBefore <= clock.now()
  }

  function take (filter: (task: ItemTask) => boolean): ItemTask | undefined {
    if (endAs !== undefined || isLost) return undefined
    const task = queue.find((candidate) => isReady(candidate) && filter(candidate))
    if (task === undefined) return undefined
    queue = queue.filter((other) => other !== task)
    running.add(task)
    return task
  }

  /** Tells whether this runner may still dispatch items of the chunk. */
  async function mayDispatch (): Promise<boolean> {
    const now = clock.now()
    if (context.isLeaseHeld()) {
      lastContactAt = now
      return true
    }
    if (now - verifiedAt < VERIFY_EVERY_MS) return mayRun
    verifiedAt = now
    const outcome = await ledger.verify()
    if (outcome === 'lost') lose()
    if (outcome === 'committed') lastContactAt = now
    const { runMs, maxPendingBytes } = settings.outage
    mayRun = outcome !== 'lost' && now - lastContactAt < runMs && ledger.pendingBytes() < maxPendingBytes
    return mayRun
  }

  function lose (): void {
    isLost = true
    stopped.abort()
    wakeup.wake()
  }

  /** Writes the intent of an item, with those of the next ones like it. */
  async function writeIntents (task: ItemTask): Promise<CommitOutcome> {
    const next = queue.filter(({ item, index }) => item.noRepeat && !ledger.hasIntent(index))
    const intents = [task, ...next].slice(0, settings.intentGroup).map(({ index }) => index)
    return await commit({ intents })
  }

  async function commit (change: Parameters<typeof ledger.commit>[0]): Promise<CommitOutcome> {
    const outcome = await ledger.commit(change)
    metrics.count(`batch.commits.${outcome}`)
    if (outcome === 'lost') lose()
    if (outcome === 'committed') {
      lastContactAt = clock.now()
      oldestPendingAt = ledger.pendingItems() > 0 ? lastContactAt : undefined
    }
    return outcome
  }

  async function attempt (task: ItemTask): Promise<ItemOutcome> {
    const blocked = (): ItemOutcome => {
      task.notBefore = clock.now() + BLOCKED_PAUSE_MS
      return { type: 'parked' }
    }
    if (!await mayDispatch()) return blocked()
    if (task.item.noRepeat && !ledger.hasIntent(task.index)) {
      const outcome = await writeIntents(task)
      // A lost answer may have settled the intent in a later commit.
      if (outcome !== 'committed' || !ledger.hasIntent(task.index)) return blocked()
    }
    if (stopped.signal.aborted) return { type: 'retry' }
    return await runItem(context, task, { signal: stopped.signal, mayDispatch })
  }

  async function work (task: ItemTask): Promise<ItemOutcome> {
    const outcome = await attempt(task)
    running.delete(task)
    if (outcome.type === 'result') {
      ledger.record(task.index, outcome.result)
      oldestPendingAt ??= clock.now()
      metrics.count(`batch.items.${outcome.result.status}`)
    } else if (task.tries === 0) {
      queue.unshift(task)
    } else {
      queue.push(task)
    }
    wakeup.wake()
    return outcome
  }

  function isCommitDue (): boolean {
    const { items: most, maxBytes, everyMs } = settings.commit
    if (ledger.pendingItems() >= most || ledger.pendingBytes() >= maxBytes) return true
    return oldestPendingAt !== undefined && clock.now() - oldestPendingAt >= everyMs
  }

  function untilNextCommit (): number {
    if (oldestPendingAt === undefined) return settings.commit.everyMs
    return Math.max(1, oldestPendingAt + settings.commit.everyMs - clock.now())
  }

  /** Commits results until every item has one, or the work is to end here. */
  async function commitResults (): Promise<HeldChunkEnd> {
    for (;;) {
      if (isLost) return 'lost'
      if (endAs !== undefined) return await endEarly(endAs)
      const isWorked = queue.length === 0 && running.size === 0
      if (isWorked || isCommitDue()) {
        const outcome = await commit(isWorked ? { end: 'complete' } : {})
        if (outcome === 'committed' && isWorked) return 'complete'
        if (outcome === 'unavailable') await wakeup.wait(COMMIT_RETRY_MS)
        continue
      }
      await wakeup.wait(untilNextCommit())
    }
  }

  async function endEarly (end: Exclude<ChunkEnd, 'complete'>): Promise<HeldChunkEnd> {
    while (running.size > 0 && clock.now() < graceEndsAt) await wakeup.wait(graceEndsAt - clock.now())
    stopped.abort()
    // A stream that does not react to being cancelled must not keep the process.
    const abandonsAt = clock.now() + settings.stopGraceMs
    while (running.size > 0 && clock.now() < abandonsAt) await wakeup.wait(abandonsAt - clock.now())
    const withdrawn = settleIntents(end)
    const givesUpAt = clock.now() + (end === 'released' ? settings.stopGraceMs : settings.outage.runMs)
    for (;;) {
      const isWhole = [...queue, ...running].every(({ index }) => ledger.hasResult(index))
      const outcome = await commit({ end: isWhole ? 'complete' : end, withdrawn })
      if (outcome === 'committed') return isWhole ? 'complete' : end
      if (outcome === 'lost' || clock.now() > givesUpAt) return 'lost'
      await clock.sleep(COMMIT_RETRY_MS)
    }
  }

  /** Settles items with an intent: unknown where they may have run, else their intents are taken back. */
  function settleIntents (end: ChunkEnd): number[] {
    const intended = [...queue, ...running].filter(({ index }) => ledger.hasIntent(index))
    for (const { index, item, isDispatched } of intended) {
      if (isDispatched && end === 'sealed') ledger.record(index, unknownResult(item, 'the job was cancelled'))
    }
    return intended.filter(({ isDispatched }) => !isDispatched).map(({ index }) => index)
  }

  function endWith (end: Exclude<ChunkEnd, 'complete'>, graceMs: number): void {
    if (endAs === 'sealed') return
    endAs = end
    graceEndsAt = clock.now() + graceMs
    if (graceMs === 0) stopped.abort()
    wakeup.wake()
  }

  async function run (): Promise<HeldChunkEnd> {
    const end = await commitResults()
    stopped.abort()
    log.info({ end }, 'chunk ended')
    return end
  }

  const ended = run()

  return {
    name,
    job,
    readyItems: (isParked) => {
      if (endAs !== undefined || isLost) return 0
      return queue.filter((task) => isReady(task) && !isParked(String(task.item.body.model))).length
    },
    nextAt: () => queue.length === 0 ? undefined : Math.min(...queue.map(({ notBefore }) => notBefore)),
    take,
    work,
    running: () => [...running],
    cancel: () => endWith('sealed', 0),
    giveBack: (graceMs) => endWith('released', graceMs),
    ended
  }
}
