/** Asks homes for slots on targets, and holds the grants. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { v4 as uuid } from 'uuid'
import type { Clock } from '../clock'
import type { ConfigView } from '../config'
import { RefusalError } from '../errors'
import type { Log } from '../logging'
import type { MembershipView, Target } from '../membership'
import type { Metrics } from '../metrics'
import { SlotRefusalReason, type HomeFrame, type PeerTransports } from '../rpc'
import type { HomeLink, LinkEnd } from './homeLink'
import { createHomeLinks } from './homeLinks'
import { createHomeOrder } from './homeOrder'
import { createLoadTable } from './loadTable'
import { createMailbox, type Mailbox } from './mailbox'
import { nearestTargets, preferTarget, ROUTING, type RoutingPlan } from './routing'
import { slotClientSettings, type SlotClientSettings } from './settings'
import type { LocalSlotHome, SlotClient, SlotGrant, SlotReport, SlotRequest } from './types'

/** Refusals that say nothing about the load: further targets are asked all the same. */
const FREE_REFUSALS: ReadonlySet<SlotRefusalReason> = new Set([
  SlotRefusalReason.EJECTED, SlotRefusalReason.LEAVING, SlotRefusalReason.NOT_HOME
])
/** Targets asked in all for one request. */
const MAX_ASKED = 12
/** Longest time that a timer can wait, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1
/** When to come back where no home says better, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000

export interface SlotClientOptions {
  instanceId: string
  /** Where this process stands. */
  failureDomain: string
  region: string
  membership: MembershipView
  config: ConfigView
  transports: PeerTransports
  clock: Clock
  metrics: Metrics
  log: Log
  settings?: Partial<SlotClientSettings>
  /** The home in this process, reached without the network. */
  localHome?: LocalSlotHome
  /** A number from 0 up to 1. */
  random?: () => number
}

export type ResolvedSlotClientOptions =
  Omit<SlotClientOptions, 'settings'> & { settings: SlotClientSettings }

/** What becomes of a ticket. */
type TicketEvent =
  | { type: 'granted', ticket: number }
  | { type: 'queued', ticket: number }
  | { type: 'refused', ticket: number, reason: SlotRefusalReason, retryAfterMs: number }
  | { type: 'homeLost', ticket: number }
  | { type: 'homeMoved', ticket: number }
  | { type: 'ended', reason: 'deadline' | 'aborted' }

interface OpenTicket {
  ticket: number
  target: Target
  batch: boolean
  link: HomeLink
  mailbox: Mailbox<TicketEvent>
}

interface HeldGrant {
  ticket: number
  target: Target
  batch: boolean
  /** Absent while no home can be reached. */
  link?: HomeLink
  revoking: AbortController
}

/** Creates the slot client of a process. */
export function createSlotClient (options: SlotClientOptions): SlotClient {
  const settings: SlotClientSettings = { ...slotClientSettings.parse({}), ...options.settings }
  const resolved: ResolvedSlotClientOptions = { ...options, settings }
  const { membership, clock, metrics } = options
  const random = options.random ?? Math.random
  const order = createHomeOrder(membership)
  const loads = createLoadTable(clock)
  const open = new Map<number, OpenTicket>()
  const grants = new Map<number, HeldGrant>()
  const links = createHomeLinks({ ...resolved, order, holderId: uuid(), onFrame, onEnd })
  const stopListening = membership.onChange(onMembersChanged)
  let lastTicket = 0

  function onFrame (link: HomeLink, frame: HomeFrame): void {
    noteLoads(frame)
    for (const ticket of frame.granted) onGranted(ticket, link)
    for (const ticket of frame.queued) open.get(ticket)?.mailbox.post({ type: 'queued', ticket })
    for (const { ticket, reason, retryAfterMs } of frame.refused) {
      takeOpen(ticket)?.mailbox.post({ type: 'refused', ticket, reason, retryAfterMs })
    }
    for (const ticket of frame.revoked) grants.get(ticket)?.revoking.abort()
    if (frame.handingOver) onHandingOver(link)
  }

  function noteLoads (frame: HomeFrame): void {
    for (const load of frame.loads) {
      const targetId = load.target || open.get(load.ticket)?.target.id
      if (targetId !== undefined) loads.note(targetId, load)
    }
  }

  function takeOpen (ticket: number): OpenTicket | undefined {
    const found = open.get(ticket)
    open.delete(ticket)
    return found
  }

  function onGranted (ticket: number, link: HomeLink): void {
    const found = takeOpen(ticket)
    // A ticket that was withdrawn meanwhile is free again at the home by that withdrawal.
    if (found === undefined) return
    const { target, batch } = found
    grants.set(ticket, { ticket, target, batch, link, revoking: new AbortController() })
    found.mailbox.post({ type: 'granted', ticket })
  }

  function onEnd (link: HomeLink, end: LinkEnd): void {
    moveWork(link, 'homeLost')
    if (end === 'unreachable') metrics.count('slots.homesLost')
  }

  function onHandingOver (link: HomeLink): void {
    links.noteHandedOver(link)
    moveWork(link, 'homeMoved')
  }

  /** Sends the waiting tickets of a link back to their tasks, and its grants to the next homes. */
  function moveWork (link: HomeLink, type: 'homeLost' | 'homeMoved'): void {
    for (const { ticket, mailbox } of [...open.values()].filter((ticket) => ticket.link === link)) {
      open.delete(ticket)
      if (type === 'homeMoved') link.withdraw(ticket)
      mailbox.post({ type, ticket })
    }
    for (const grant of [...grants.values()].filter((grant) => grant.link === link)) {
      if (type === 'homeMoved') link.moveAway(grant.ticket)
      rehome(grant)
    }
  }

  function rehome (grant: HeldGrant): void {
    const { ticket, batch, target } = grant
    grant.link = undefined
    grant.link = links.linkFor(target, { ticket, batch, targetId: target.id })
  }

  function onMembersChanged (): void {
    const live = new Set(membership.instances('entry').map((instance) => instance.id))
    for (const { ticket, link, mailbox } of [...open.values()]) {
      if (live.has(link.home.id)) continue
      open.delete(ticket)
      link.withdraw(ticket)
      mailbox.post({ type: 'homeMoved', ticket })
    }
    for (const grant of grants.values()) {
      const home = links.homeOf(grant.target)
      if (home === undefined || home.id === grant.link?.home.id) continue
      grant.link?.moveAway(grant.ticket)
      rehome(grant)
    }
  }

  function ask (target: Target, req: SlotRequest, mailbox: Mailbox<TicketEvent>, ask: AskOptions): number | undefined {
    const link = links.linkFor(target)
    if (link === undefined) return undefined
    lastTicket += 1
    const ticket = lastTicket
    const batch = req.workClass === 'batch'
    open.set(ticket, { ticket, target, batch, link, mailbox })
    link.ask({ ticket, targetId: target.id, batch, req, ...ask })
    return ticket
  }

  function withdraw (ticket: number): void {
    takeOpen(ticket)?.link.withdraw(ticket)
    const grant = grants.get(ticket)
    grants.delete(ticket)
    grant?.link?.withdraw(ticket)
  }

  function grantOf (ticket: number): SlotGrant | undefined {
    const grant = grants.get(ticket)
    if (grant === undefined) return undefined
    loads.adjust(grant.target.id, 1)
    function release (report: SlotReport): void {
      if (!grants.delete(ticket)) return
      loads.adjust(grant!.target.id, -1)
      grant!.link?.release(ticket, report)
    }
    return { target: grant.target, revoked: grant.revoking.signal, release }
  }

  function plan (req: SlotRequest): { plan: RoutingPlan, ignoreEjection: boolean } {
    const excluded = new Set(req.excluded)
    const all = membership.targets(req.service).filter((target) => !excluded.has(target.id))
    const working = all.filter((target) => !loads.isEjected(target.id))
    const ignoreEjection = all.length - working.length > all.length * settings.maxEjectedShare
    const usable = ignoreEjection ? all : working
    const near = nearestTargets(usable, options, loads)
    const planned = ROUTING[settings.routing]({ req, targets: near, loads, settings, random })
    const preferred = usable.filter((target) => target.id === req.preferred)
    const far = usable.filter((target) => !near.includes(target))
    const targets = preferTarget([...planned.targets, ...far], preferred[0]?.id)
    return { plan: { ...planned, targets }, ignoreEjection }
  }

  async function acquire (req: SlotRequest, signal?: AbortSignal): Promise<Result<SlotGrant, RefusalError>> {
    const mailbox = createMailbox<TicketEvent>()
    const finished = new AbortController()
    const deadlineAt = clock.now() + req.deadlineMs
    const onAbort = (): void => mailbox.post({ type: 'ended', reason: 'aborted' })
    if (signal?.aborted === true) onAbort()
    signal?.addEventListener('abort', onAbort, { once: true })
    clock.sleep(Math.min(req.deadlineMs, MAX_TIMER_MS), finished.signal).then(() => mailbox.post({ type: 'ended', reason: 'deadline' }))

    const { plan: { targets, atOnce, maxOpen }, ignoreEjection } = plan(req)
    const tickets = new Map<number, { target: Target, waits: boolean }>()
    let asked = 0
    let loadRefusals = 0
    let homesLost = 0
    let retryAfterMs: number | undefined
    let reason: 'noTarget' | 'queueFull' | 'deadlineUnreachable' = 'noTarget'

    function askTarget (target: Target): boolean {
      const ticket = ask(target, req, mailbox, { deadlineMs: deadlineAt - clock.now(), ignoreEjection })
      if (ticket !== undefined) tickets.set(ticket, { target, waits: false })
      return ticket !== undefined
    }

    function askNext (): void {
      while (asked < Math.min(targets.length, MAX_ASKED) && loadRefusals < settings.maxTargetsAsked) {
        asked += 1
        if (askTarget(targets[asked - 1]!)) return
      }
    }

    function noteRefusal (event: Extract<TicketEvent, { type: 'refused' }>): void {
      if (event.reason !== SlotRefusalReason.NOT_HOME) {
        retryAfterMs = Math.min(retryAfterMs ?? Infinity, event.retryAfterMs)
      }
      if (FREE_REFUSALS.has(event.reason)) return
      loadRefusals += 1
      reason = event.reason === SlotRefusalReason.QUEUE_FULL ? 'queueFull' : 'deadlineUnreachable'
    }

    function finish<T> (result: T, keep?: number): T {
      finished.abort()
      signal?.removeEventListener('abort', onAbort)
      for (const ticket of tickets.keys()) {
        if (ticket !== keep) withdraw(ticket)
      }
      return result
    }

    for (let count = 0; count < atOnce; count += 1) askNext()
    while (tickets.size > 0) {
      const event = await mailbox.next()
      if (event.type === 'ended') return finish(err(endedError(event.reason, retryAfterMs)))
      const state = tickets.get(event.ticket)
      if (state === undefined) continue
      if (event.type === 'granted') {
        const grant = grantOf(event.ticket)
        if (grant !== undefined) return finish(ok(grant), event.ticket)
      }
      if (event.type === 'queued') {
        state.waits = true
        if (tickets.size < maxOpen) askNext()
        continue
      }
      tickets.delete(event.ticket)
      if (event.type === 'homeLost') metrics.retried('homeLost')
      if (event.type === 'homeLost' || event.type === 'homeMoved') {
        homesLost += 1
        if (homesLost <= MAX_ASKED && askTarget(state.target)) continue
      }
      if (event.type === 'refused') noteRefusal(event)
      if (tickets.size < atOnce) askNext()
    }
    return finish(err(new RefusalError(reason, { retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS })))
  }

  return {
    acquire: (req, { signal } = {}) => new ResultAsync(acquire(req, signal)),
    close: async () => {
      stopListening()
      links.close()
      order.close()
    }
  }
}

interface AskOptions {
  deadlineMs: number
  ignoreEjection: boolean
}

function endedError (reason: 'deadline' | 'aborted', retryAfterMs: number | undefined): RefusalError {
  if (reason === 'aborted') return new RefusalError('timeout', { detail: 'The request was given up while it waited.' })
  return new RefusalError('deadlineUnreachable', { retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS })
}
