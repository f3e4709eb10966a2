/** The tickets of this process: those that wait at homes, and those that hold a slot. */
import type { Target } from '../membership'
import { SlotRefusalReason, type HomeFrame, type SlotRefusal } from '../rpc'
import type { Ask, HomeLink, LinkEnd } from './homeLink'
import { createHomeLinks, type HomeLinksOptions } from './homeLinks'
import type { LoadTable } from './loadTable'
import type { Mailbox } from './mailbox'
import type { SlotGrant, SlotReport, SlotRequest } from './types'

/** What becomes of a ticket. */
export type TicketEvent =
  | { type: 'granted', ticket: number }
  | { type: 'queued', ticket: number }
  | { type: 'refused', ticket: number, reason: SlotRefusalReason, retryAfterMs: number }
  /** The home can't be reached any more. */
  | { type: 'homeLost', ticket: number }
  /** Another instance is home now. */
  | { type: 'homeMoved', ticket: number }

export type TicketQuestion = Pick<Ask, 'deadlineMs' | 'ignoreEjection'> & { target: Target, req: SlotRequest }

export interface Tickets {
  /** Asks the target's home; undefined when no home can be reached. */
  ask: (question: TicketQuestion, mailbox: Pick<Mailbox<TicketEvent>, 'post'>) => number | undefined
  /** Gives a ticket up, waiting or granted. */
  withdraw: (ticket: number) => void
  /** The slot of a granted ticket; undefined when it is not granted. */
  grantOf: (ticket: number) => SlotGrant | undefined
  close: () => void
}

export interface TicketsOptions extends Omit<HomeLinksOptions, 'onFrame' | 'onEnd'> {
  loads: LoadTable
}

interface OpenTicket {
  ticket: number
  target: Target
  batch: boolean
  link: HomeLink
  mailbox: Pick<Mailbox<TicketEvent>, 'post'>
}

interface HeldGrant {
  ticket: number
  target: Target
  batch: boolean
  /** Absent while no home can be reached. */
  link?: HomeLink
  revoking: AbortController
}

/** Creates the tickets of a process, none at first. */
export function createTickets (options: TicketsOptions): Tickets {
  const { membership, metrics, loads } = options
  const open = new Map<number, OpenTicket>()
  const grants = new Map<number, HeldGrant>()
  const links = createHomeLinks({ ...options, onFrame, onEnd })
  const stopListening = membership.onChange(onMembersChanged)
  let lastTicket = 0

  function onFrame (link: HomeLink, frame: HomeFrame): void {
    noteLoads(frame)
    for (const ticket of frame.granted) onGranted(ticket, link)
    for (const ticket of frame.queued) open.get(ticket)?.mailbox.post({ type: 'queued', ticket })
    for (const ticket of frame.revoked) grants.get(ticket)?.revoking.abort()
    if (frame.handingOver) onHandingOver(link)
    for (const refusal of frame.refused) onRefused(link, refusal)
  }

  function onRefused (link: HomeLink, { ticket, reason, retryAfterMs }: SlotRefusal): void {
    const found = takeOpen(ticket)
    if (found === undefined) return
    const hasMoved = reason === SlotRefusalReason.NOT_HOME && links.homeOf(found.target)?.id !== link.home.id
    found.mailbox.post(hasMoved ? { type: 'homeMoved', ticket } : { type: 'refused', ticket, reason, retryAfterMs })
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
    // The home frees a ticket that was withdrawn meanwhile when the withdrawal arrives.
    if (found === undefined) return
    const { target, batch, mailbox } = found
    grants.set(ticket, { ticket, target, batch, link, revoking: new AbortController() })
    mailbox.post({ type: 'granted', ticket })
  }

  function onEnd (link: HomeLink, end: LinkEnd): void {
    if (end === 'unreachable') metrics.count('slots.homesLost')
    moveWaiting((ticket) => ticket.link === link, 'homeLost')
    for (const grant of grants.values()) {
      if (grant.link === link) rehome(grant)
    }
  }

  /** Moves grants first; the home sends the waiting tickets after them. */
  function onHandingOver (link: HomeLink): void {
    links.noteHandedOver(link)
    for (const grant of grants.values()) {
      if (grant.link !== link) continue
      link.moveAway(grant.ticket)
      rehome(grant)
    }
  }

  /** Sends waiting tickets back to the tasks that asked. */
  function moveWaiting (isConcerned: (ticket: OpenTicket) => boolean, type: 'homeLost' | 'homeMoved'): void {
    for (const { ticket, link, mailbox } of [...open.values()].filter(isConcerned)) {
      open.delete(ticket)
      if (type === 'homeMoved') link.withdraw(ticket)
      mailbox.post({ type, ticket })
    }
  }

  /** Reports a grant to the present home of its target. */
  function rehome (grant: HeldGrant): void {
    const { ticket, batch, target } = grant
    grant.link = undefined
    grant.link = links.linkFor(target, { ticket, batch, targetId: target.id })
  }

  function onMembersChanged (): void {
    moveWaiting((ticket) => links.homeOf(ticket.target)?.id !== ticket.link.home.id, 'homeMoved')
    for (const grant of grants.values()) {
      const home = links.homeOf(grant.target)
      if (home === undefined || home.id === grant.link?.home.id) continue
      grant.link?.moveAway(grant.ticket)
      rehome(grant)
    }
  }

  function ask (question: TicketQuestion, mailbox: Pick<Mailbox<TicketEvent>, 'post'>): number | undefined {
    const { target, req, deadlineMs, ignoreEjection } = question
    const link = links.linkFor(target)
    if (link === undefined) return undefined
    lastTicket += 1
    const ticket = lastTicket
    const batch = req.workClass === 'batch'
    open.set(ticket, { ticket, target, batch, link, mailbox })
    link.ask({ ticket, targetId: target.id, batch, req, deadlineMs, ignoreEjection })
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
    const { target } = grant
    loads.adjust(target.id, 1)
    return {
      target,
      revoked: grant.revoking.signal,
      release: (report: SlotReport) => {
        if (!grants.delete(ticket)) return
        loads.adjust(target.id, -1)
        grant.link?.release(ticket, report)
      }
    }
  }

  return {
    ask,
    withdraw,
    grantOf,
    close: () => {
      stopListening()
      links.close()
    }
  }
}
