/**
 * Slot scheduler of an entry instance: grants the slots of the targets that the instance owns or stands in for.
 * An owner is called a home in the protocol and in setting names.
 */
import type { ConnectRouter } from '@connectrpc/connect'
import {
  createOwnerOrder, serviceEntry, slotSchedulerSettings, SlotRefusalReason, SlotService,
  type Clock, type ConfigView, type HolderFrame, type LocalSlotScheduler, type Log, type MembershipView, type Metrics,
  type ServiceEntry, type SlotAcquire, type SlotSchedulerSettings, type SlotRelease
} from '../../shared'
import type { Holder } from './holder'
import { createHolderStream, type HolderStream } from './holderStream'
import {
  createTargetScheduler, type Authority, type SchedulerLoad, type ReleaseReport, type TargetScheduler
} from './targetScheduler'

const US_PER_MS = 1000
const MAX_TARGET_ID_LENGTH = 200

export interface SlotSchedulerOptions {
  instanceId: string
  membership: MembershipView
  config: ConfigView
  clock: Clock
  metrics: Metrics
  log: Log
  settings?: Partial<SlotSchedulerSettings>
}

/** State of one target at an owner. */
export interface TargetStats extends SchedulerLoad {
  target: string
  authority: Authority | 'none'
}

export interface SlotScheduler extends LocalSlotScheduler {
  /** Registers the RPC service for peers. */
  routes: (router: ConnectRouter) => void
  stats: () => TargetStats[]
  /** Moves grants and waiting tickets to the next owners; resolves when all have moved or `timeoutMs` has passed. */
  handOver: (timeoutMs?: number) => Promise<void>
  close: () => Promise<void>
}

/** Time for holders to move to the next owners, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 2000
/** Time after which waiting tickets move even if some grants have not moved yet, in milliseconds. */
const GRANTS_MOVE_TIMEOUT_MS = 100
const HAND_OVER_POLL_MS = 5

export function createSlotScheduler (options: SlotSchedulerOptions): SlotScheduler {
  const { membership, clock, metrics, instanceId } = options
  const settings: SlotSchedulerSettings = { ...slotSchedulerSettings.parse({}), ...options.settings }
  const order = createOwnerOrder(membership)
  const holders = new Map<string, Holder>()
  const schedulers = new Map<string, TargetScheduler>()
  const settledAt = new Map<string, number>()
  const streams = new Set<HolderStream>()
  const closed = new AbortController()
  let entryKey = getEntryKey()
  let entriesChangedAt = clock.now()
  let handingOver = false

  function getEntryKey (): string {
    return membership.instances('entry').map((instance) => instance.id).sort().join()
  }

  function getRank (targetId: string): number {
    if (settings.ownership === 'localShares') return 0
    const target = membership.target(targetId)
    if (target === undefined) return -1
    return order.getOwners(target).findIndex((instance) => instance.id === instanceId)
  }

  function canServe (targetId: string): boolean {
    const rank = getRank(targetId)
    return !handingOver && rank >= 0 && rank <= settings.standInRanks
  }

  function getAuthority (targetId: string): Authority {
    if (settings.ownership === 'localShares') return 'full'
    if (getRank(targetId) !== 0) return 'partial'
    const settled = settledAt.get(targetId) ?? entriesChangedAt + settings.settleMs
    settledAt.set(targetId, settled)
    return clock.now() >= settled ? 'full' : 'partial'
  }

  function isGrantable (targetId: string): boolean {
    const target = membership.target(targetId)
    if (target === undefined) return false
    return membership.targets(target.service).some((other) => other.id === targetId)
  }

  function getService (targetId: string): ServiceEntry {
    const name = membership.target(targetId)?.service ?? 'unknown'
    return options.config.current().services.get(name) ??
      serviceEntry.parse({ kind: 'service', name, type: 'engine' })
  }

  function computeLocalShare (limit: number): number {
    return Math.max(1, Math.floor(limit / Math.max(1, membership.instances('entry').length)))
  }

  function getScheduler (targetId: string): TargetScheduler {
    let scheduler = schedulers.get(targetId)
    if (scheduler === undefined) {
      scheduler = createTargetScheduler({
        targetId,
        settings,
        clock,
        metrics,
        goals: () => getService(targetId),
        authority: () => getAuthority(targetId),
        isGrantable: () => !handingOver && isGrantable(targetId),
        scaleLimit: settings.ownership === 'localShares' ? computeLocalShare : undefined
      })
      schedulers.set(targetId, scheduler)
    }
    return scheduler
  }

  function onHello (holderId: string, stream: HolderStream): Holder {
    const holder: Holder = holders.get(holderId) ?? { id: holderId, disconnects: 0, tickets: new Map() }
    holders.set(holderId, holder)
    const previous = holder.port as HolderStream | undefined
    holder.port = stream
    previous?.close()
    return holder
  }

  function onFrame (holder: Holder, frame: HolderFrame): void {
    if (frame.hello !== undefined) reconcile(holder, frame)
    for (const held of frame.held) {
      if (isValidTargetId(held.target)) getScheduler(held.target).adopt(holder, held.ticket, held.batch)
    }
    for (const ticket of frame.withdrawn) holder.tickets.get(ticket)?.withdraw(holder, ticket)
    for (const release of frame.releases) onRelease(holder, release)
    for (const acquire of frame.acquires) onAcquire(holder, acquire)
  }

  /** Frees the tickets of a holder that it does not report after it has connected again. */
  function reconcile (holder: Holder, frame: HolderFrame): void {
    const reported = new Set(frame.held.map((held) => held.ticket))
    for (const [ticket, scheduler] of [...holder.tickets]) {
      if (!reported.has(ticket)) scheduler.free(holder, ticket)
    }
  }

  function onAcquire (holder: Holder, req: SlotAcquire): void {
    if (holder.tickets.has(req.ticket)) return
    if (!isValidTargetId(req.target) || !canServe(req.target)) {
      metrics.count('slots.refused.not_home')
      holder.port?.refused(req.ticket, SlotRefusalReason.NOT_HOME, 0)
      return
    }
    getScheduler(req.target).acquire({
      holder,
      ticket: req.ticket,
      batch: req.batch,
      account: req.account,
      weight: req.weight > 0 ? req.weight : 1,
      deadlineAt: clock.now() + req.deadlineMs,
      ignoreEjection: req.ignoreEjection,
      begun: req.begun
    })
  }

  function onRelease (holder: Holder, release: SlotRelease): void {
    const scheduler = holder.tickets.get(release.ticket)
    if (scheduler === undefined) {
      metrics.count('slots.releases.late')
      return
    }
    scheduler.release(holder, release.ticket, toReport(release))
  }

  function onEnd (holder: Holder, stream: HolderStream): void {
    streams.delete(stream)
    if (holder.port !== stream) return
    holder.port = undefined
    holder.disconnects += 1
    for (const scheduler of new Set(holder.tickets.values())) scheduler.dropWaiting(holder)
    freeAfterGrace(holder)
  }

  async function freeAfterGrace (holder: Holder): Promise<void> {
    const { disconnects } = holder
    if (holder.tickets.size > 0) await clock.sleep(settings.graceMs, closed.signal)
    if (holder.port !== undefined || holder.disconnects !== disconnects) return
    holders.delete(holder.id)
    for (const [ticket, scheduler] of [...holder.tickets]) {
      metrics.count('slots.orphansFreed')
      scheduler.free(holder, ticket)
    }
  }

  /** Restarts the settling time of targets that this instance becomes the first owner of. */
  function updateEntries (): void {
    if (getEntryKey() === entryKey) return
    entryKey = getEntryKey()
    entriesChangedAt = clock.now()
    for (const targetId of [...settledAt.keys()]) {
      if (getRank(targetId) !== 0) settledAt.delete(targetId)
    }
  }

  /** Applies a change of the membership to all targets. */
  function onMembersChanged (): void {
    updateEntries()
    for (const [targetId, scheduler] of [...schedulers]) {
      if (!isGrantable(targetId)) scheduler.refuseWaiting(SlotRefusalReason.LEAVING)
      else scheduler.sweep()
      if (scheduler.isEmpty() && membership.target(targetId) === undefined) schedulers.delete(targetId)
    }
  }

  async function runSweeps (): Promise<void> {
    while (!closed.signal.aborted) {
      await clock.sleep(settings.sweepMs, closed.signal)
      for (const scheduler of schedulers.values()) {
        if (!scheduler.isEmpty()) scheduler.sweep()
      }
    }
  }

  function open (frames: AsyncIterable<HolderFrame>, signal: AbortSignal): ReturnType<HolderStream['run']> {
    const stream = createHolderStream({ frames, signal, clock, settings, onHello, onFrame, onEnd })
    streams.add(stream)
    if (handingOver) stream.handOver()
    return stream.run()
  }

  async function handOver (timeoutMs = HAND_OVER_TIMEOUT_MS): Promise<void> {
    handingOver = true
    for (const stream of streams) stream.handOver()
    // The next owners must know the grants before waiting tickets reach them, or they would exceed the limit.
    await waitUntil((scheduler) => scheduler.load().inUse === 0, Math.min(timeoutMs, GRANTS_MOVE_TIMEOUT_MS))
    for (const scheduler of schedulers.values()) scheduler.refuseWaiting(SlotRefusalReason.NOT_HOME)
    await waitUntil((scheduler) => scheduler.isEmpty(), timeoutMs)
  }

  async function waitUntil (isDone: (scheduler: TargetScheduler) => boolean, timeoutMs: number): Promise<void> {
    const deadline = clock.now() + timeoutMs
    while (![...schedulers.values()].every(isDone) && clock.now() < deadline) {
      await clock.sleep(HAND_OVER_POLL_MS, closed.signal)
    }
  }

  const unsubscribe = membership.onChange(onMembersChanged)
  const sweeping = runSweeps()

  return {
    open,
    routes: (router) => {
      router.service(SlotService, { open: (frames, context) => open(frames, context.signal) })
    },
    stats: () => [...schedulers].map(([target, scheduler]) => ({
      target,
      authority: canServe(target) ? getAuthority(target) : 'none',
      ...scheduler.load()
    })),
    handOver,
    close: async () => {
      unsubscribe()
      order.close()
      closed.abort()
      for (const stream of [...streams]) stream.close()
      await sweeping
    }
  }
}

function toReport (release: SlotRelease): ReleaseReport {
  return {
    result: release.result,
    firstTokenMs: release.firstTokenMs,
    tokenGapMs: release.tokenGapUs / US_PER_MS
  }
}

function isValidTargetId (targetId: string): boolean {
  return targetId.length > 0 && targetId.length <= MAX_TARGET_ID_LENGTH
}
