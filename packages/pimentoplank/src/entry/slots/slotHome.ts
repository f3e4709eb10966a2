/** The home of targets: grants the slots of those that this instance comes first for. */
import type { ConnectRouter } from '@connectrpc/connect'
import {
  createHomeOrder, serviceEntry, slotHomeSettings, SlotRefusalReason, SlotService,
  type Clock, type ConfigView, type HolderFrame, type LocalSlotHome, type Log, type MembershipView, type Metrics,
  type ServiceEntry, type SlotAcquire, type SlotHomeSettings, type SlotRelease
} from '../../shared'
import type { Holder } from './holder'
import { createHomeStream, type HomeStream } from './homeStream'
import { createTargetBoard, type Authority, type BoardLoad, type Report, type TargetBoard } from './targetBoard'

const US_PER_MS = 1000
const LONGEST_TARGET_ID = 200

export interface SlotHomeOptions {
  instanceId: string
  membership: MembershipView
  config: ConfigView
  clock: Clock
  metrics: Metrics
  log: Log
  settings?: Partial<SlotHomeSettings>
}

/** State of one target at its home. */
export interface SlotHomeStats extends BoardLoad {
  target: string
  authority: Authority | 'none'
}

export interface SlotHome extends LocalSlotHome {
  /** Registers the service for peers. */
  routes: (router: ConnectRouter) => void
  stats: () => SlotHomeStats[]
  /** Sends held and waiting tickets to the next homes; resolves when they have moved or the time is up. */
  handOver: (timeoutMs?: number) => Promise<void>
  close: () => Promise<void>
}

/** Time that holders get to move to the next home, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 2000
/** Time after which waiting requests move although some grants have not, in milliseconds. */
const GRANTS_MOVE_TIMEOUT_MS = 100
const HAND_OVER_POLL_MS = 5

/** Creates the home side of an entry instance. */
export function createSlotHome (options: SlotHomeOptions): SlotHome {
  const { membership, clock, metrics, instanceId } = options
  const settings: SlotHomeSettings = { ...slotHomeSettings.parse({}), ...options.settings }
  const order = createHomeOrder(membership)
  const holders = new Map<string, Holder>()
  const boards = new Map<string, TargetBoard>()
  const settledAt = new Map<string, number>()
  const streams = new Set<HomeStream>()
  const closed = new AbortController()
  let entries = entryIds()
  let entriesChangedAt = clock.now()
  let handingOver = false

  function entryIds (): string {
    return membership.instances('entry').map((instance) => instance.id).sort().join()
  }

  function rankOf (targetId: string): number {
    if (settings.ownership === 'localShares') return 0
    const target = membership.target(targetId)
    if (target === undefined) return -1
    return order.of(target).findIndex((instance) => instance.id === instanceId)
  }

  function mayServe (targetId: string): boolean {
    const rank = rankOf(targetId)
    return !handingOver && rank >= 0 && rank <= settings.standInRanks
  }

  function authorityOf (targetId: string): Authority {
    if (settings.ownership === 'localShares') return 'full'
    if (rankOf(targetId) !== 0) return 'partial'
    const settled = settledAt.get(targetId) ?? entriesChangedAt + settings.settleMs
    settledAt.set(targetId, settled)
    return clock.now() >= settled ? 'full' : 'partial'
  }

  function isGrantable (targetId: string): boolean {
    const target = membership.target(targetId)
    if (target === undefined) return false
    return membership.targets(target.service).some((other) => other.id === targetId)
  }

  function serviceOf (targetId: string): ServiceEntry {
    const name = membership.target(targetId)?.service ?? 'unknown'
    return options.config.current().services.get(name) ??
      serviceEntry.parse({ kind: 'service', name, type: 'engine' })
  }

  function localShare (limit: number): number {
    return Math.max(1, Math.floor(limit / Math.max(1, membership.instances('entry').length)))
  }

  function boardOf (targetId: string): TargetBoard {
    let board = boards.get(targetId)
    if (board === undefined) {
      board = createTargetBoard({
        targetId,
        settings,
        clock,
        metrics,
        goals: () => serviceOf(targetId),
        authority: () => authorityOf(targetId),
        isGrantable: () => !handingOver && isGrantable(targetId),
        scaleLimit: settings.ownership === 'localShares' ? localShare : undefined
      })
      boards.set(targetId, board)
    }
    return board
  }

  function onHello (holderId: string, stream: HomeStream): Holder {
    const holder: Holder = holders.get(holderId) ?? { id: holderId, endings: 0, tickets: new Map() }
    holders.set(holderId, holder)
    const earlier = holder.port as HomeStream | undefined
    holder.port = stream
    earlier?.close()
    return holder
  }

  function onFrame (holder: Holder, frame: HolderFrame): void {
    if (frame.hello !== undefined) reconcile(holder, frame)
    for (const held of frame.held) {
      if (isUsableId(held.target)) boardOf(held.target).adopt(holder, held.ticket, held.batch)
    }
    for (const ticket of frame.withdrawn) holder.tickets.get(ticket)?.withdraw(holder, ticket)
    for (const release of frame.releases) onRelease(holder, release)
    for (const acquire of frame.acquires) onAcquire(holder, acquire)
  }

  /** Frees what the home believes held, and the holder does not report. */
  function reconcile (holder: Holder, frame: HolderFrame): void {
    const reported = new Set(frame.held.map((held) => held.ticket))
    for (const [ticket, board] of [...holder.tickets]) {
      if (!reported.has(ticket)) board.free(holder, ticket)
    }
  }

  function onAcquire (holder: Holder, req: SlotAcquire): void {
    if (holder.tickets.has(req.ticket)) return
    if (!isUsableId(req.target) || !mayServe(req.target)) {
      metrics.count('slots.refused.not_home')
      holder.port?.refused(req.ticket, SlotRefusalReason.NOT_HOME, 0)
      return
    }
    boardOf(req.target).acquire({
      holder,
      ticket: req.ticket,
      batch: req.batch,
      account: req.account,
      weight: req.weight > 0 ? req.weight : 1,
      deadlineAt: clock.now() + req.deadlineMs,
      ignoreEjection: req.ignoreEjection
    })
  }

  function onRelease (holder: Holder, release: SlotRelease): void {
    const board = holder.tickets.get(release.ticket)
    if (board === undefined) {
      metrics.count('slots.releases.late')
      return
    }
    board.release(holder, release.ticket, reportOf(release))
  }

  function onEnd (holder: Holder, stream: HomeStream): void {
    streams.delete(stream)
    if (holder.port !== stream) return
    holder.port = undefined
    holder.endings += 1
    for (const board of new Set(holder.tickets.values())) board.dropWaiting(holder)
    freeAfterGrace(holder)
  }

  async function freeAfterGrace (holder: Holder): Promise<void> {
    const { endings } = holder
    if (holder.tickets.size > 0) await clock.sleep(settings.graceMs, closed.signal)
    if (holder.port !== undefined || holder.endings !== endings) return
    holders.delete(holder.id)
    for (const [ticket, board] of [...holder.tickets]) {
      metrics.count('slots.orphansFreed')
      board.free(holder, ticket)
    }
  }

  /** Lets targets that this instance is now the first home of settle. */
  function noteEntriesChanged (): void {
    if (entryIds() === entries) return
    entries = entryIds()
    entriesChangedAt = clock.now()
    for (const targetId of [...settledAt.keys()]) {
      if (rankOf(targetId) !== 0) settledAt.delete(targetId)
    }
  }

  /** Moves on what the list of members has changed. */
  function onMembersChanged (): void {
    noteEntriesChanged()
    for (const [targetId, board] of [...boards]) {
      if (!isGrantable(targetId)) board.refuseWaiting(SlotRefusalReason.LEAVING)
      else board.sweep()
      if (board.isEmpty() && membership.target(targetId) === undefined) boards.delete(targetId)
    }
  }

  async function sweepBoards (): Promise<void> {
    while (!closed.signal.aborted) {
      await clock.sleep(settings.sweepMs, closed.signal)
      for (const board of boards.values()) {
        if (!board.isEmpty()) board.sweep()
      }
    }
  }

  function open (frames: AsyncIterable<HolderFrame>, signal: AbortSignal): ReturnType<HomeStream['run']> {
    const stream = createHomeStream({ frames, signal, clock, settings, onHello, onFrame, onEnd })
    streams.add(stream)
    if (handingOver) stream.handOver()
    return stream.run()
  }

  async function handOver (timeoutMs = HAND_OVER_TIMEOUT_MS): Promise<void> {
    handingOver = true
    for (const stream of streams) stream.handOver()
    // The next homes learn of the grants before waiting requests reach them.
    await until((board) => board.load().inUse === 0, Math.min(timeoutMs, GRANTS_MOVE_TIMEOUT_MS))
    for (const board of boards.values()) board.refuseWaiting(SlotRefusalReason.NOT_HOME)
    await until((board) => board.isEmpty(), timeoutMs)
  }

  async function until (isDone: (board: TargetBoard) => boolean, timeoutMs: number): Promise<void> {
    const endsAt = clock.now() + timeoutMs
    while (![...boards.values()].every(isDone) && clock.now() < endsAt) {
      await clock.sleep(HAND_OVER_POLL_MS, closed.signal)
    }
  }

  const stopListening = membership.onChange(onMembersChanged)
  const sweeping = sweepBoards()

  return {
    open,
    routes: (router) => {
      router.service(SlotService, { open: (frames, context) => open(frames, context.signal) })
    },
    stats: () => [...boards].map(([target, board]) => ({
      target,
      authority: mayServe(target) ? authorityOf(target) : 'none',
      ...board.load()
    })),
    handOver,
    close: async () => {
      stopListening()
      order.close()
      closed.abort()
      for (const stream of [...streams]) stream.close()
      await sweeping
    }
  }
}

function reportOf (release: SlotRelease): Report {
  return {
    result: release.result,
    firstTokenMs: release.firstTokenMs,
    tokenGapMs: release.tokenGapUs / US_PER_MS
  }
}

function isUsableId (targetId: string): boolean {
  return targetId.length > 0 && targetId.length <= LONGEST_TARGET_ID
}
