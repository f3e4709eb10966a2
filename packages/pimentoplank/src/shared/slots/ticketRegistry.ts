/** The tickets of this process: those that wait at a slot owner, and those that hold a slot. */
import type { Target } from '../membership'
import { SlotRefusalReason, type HomeFrame, type SlotRefusal } from '../rpc'
import type { AcquireRequest, OwnerStream, StreamEndReason } from './ownerStream'
import { createOwnerStreamPool, type OwnerStreamPoolOptions } from './ownerStreamPool'
import type { LoadTable } from './loadTable'
import type { Mailbox } from './mailbox'
import type { SlotGrant, SlotReport, SlotRequest } from './types'

/** Changes of a ticket, reported to the task that opened it. */
export type TicketEvent =
  | { type: 'granted', ticket: number }
  | { type: 'queued', ticket: number }
  | { type: 'refused', ticket: number, reason: SlotRefusalReason, retryAfterMs: number }
  /** The owner can't be reached any more. */
  | { type: 'homeLost', ticket: number }
  /** Another instance owns the target now. */
  | { type: 'homeMoved', ticket: number }

export type TicketRequest = Pick<AcquireRequest, 'deadlineMs' | 'ignoreEjection'> & { target: Target, req: SlotRequest }

export interface TicketRegistry {
  /** Requests a slot from the target's owner and returns the ticket; undefined when no owner can be reached. */
  request: (request: TicketRequest, mailbox: Pick<Mailbox<TicketEvent>, 'post'>) => number | undefined
  /** Withdraws a ticket, waiting or granted. */
  withdraw: (ticket: number) => void
  /** Returns the slot of a granted ticket; undefined when it is not granted. Call it once: it counts load. */
  getGrant: (ticket: number) => SlotGrant | undefined
  close: () => void
}

export interface TicketRegistryOptions extends Omit<OwnerStreamPoolOptions, 'onFrame' | 'onEnd'> {
  loads: LoadTable
}

interface OpenTicket {
  ticket: number
  target: Target
  batch: boolean
  stream: OwnerStream
  mailbox: Pick<Mailbox<TicketEvent>, 'post'>
}

interface HeldGrant {
  ticket: number
  target: Target
  batch: boolean
  /** Absent while no owner can be reached. */
  stream?: OwnerStream
  revoking: AbortController
}

export function createTicketRegistry (options: TicketRegistryOptions): TicketRegistry {
  const { membership, metrics, loads } = options
  const open = new Map<number, OpenTicket>()
  const grants = new Map<number, HeldGrant>()
  const pool = createOwnerStreamPool({ ...options, onFrame, onEnd })
  const unsubscribe = membership.onChange(onMembersChanged)
  let lastTicket = 0

  function onFrame (stream: OwnerStream, frame: HomeFrame): void {
    updateLoads(frame)
    for (const ticket of frame.granted) onGranted(ticket, stream)
    for (const ticket of frame.queued) open.get(ticket)?.mailbox.post({ type: 'queued', ticket })
    for (const ticket of frame.revoked) grants.get(ticket)?.revoking.abort()
    if (frame.handingOver) onHandingOver(stream)
    for (const refusal of frame.refused) onRefused(stream, refusal)
  }

  function onRefused (stream: OwnerStream, { ticket, reason, retryAfterMs }: SlotRefusal): void {
    const opened = removeOpen(ticket)
    if (opened === undefined) return
    const hasMoved = reason === SlotRefusalReason.NOT_HOME && pool.findOwner(opened.target)?.id !== stream.owner.id
    opened.mailbox.post(hasMoved ? { type: 'homeMoved', ticket } : { type: 'refused', ticket, reason, retryAfterMs })
  }

  function updateLoads (frame: HomeFrame): void {
    for (const load of frame.loads) {
      const targetId = load.target || open.get(load.ticket)?.target.id
      if (targetId !== undefined) loads.update(targetId, load)
    }
  }

  function removeOpen (ticket: number): OpenTicket | undefined {
    const opened = open.get(ticket)
    open.delete(ticket)
    return opened
  }

  function onGranted (ticket: number, stream: OwnerStream): void {
    const opened = removeOpen(ticket)
    // The ticket was withdrawn meanwhile; the owner frees its slot when the withdrawal arrives.
    if (opened === undefined) return
    const { target, batch, mailbox } = opened
    grants.set(ticket, { ticket, target, batch, stream, revoking: new AbortController() })
    mailbox.post({ type: 'granted', ticket })
  }

  function onEnd (stream: OwnerStream, end: StreamEndReason): void {
    if (end === 'unreachable') metrics.count('slots.homesLost')
    closeWaiting((ticket) => ticket.stream === stream, 'homeLost')
    for (const grant of grants.values()) {
      if (grant.stream === stream) reassign(grant)
    }
  }

  /** Moves the grants to the next owners. The stopping owner refuses the waiting tickets after that. */
  function onHandingOver (stream: OwnerStream): void {
    pool.markHandedOver(stream)
    for (const grant of grants.values()) {
      if (grant.stream !== stream) continue
      stream.releaseMoved(grant.ticket)
      reassign(grant)
    }
  }

  /** Closes waiting tickets and notifies the tasks that opened them. */
  function closeWaiting (isAffected: (ticket: OpenTicket) => boolean, type: 'homeLost' | 'homeMoved'): void {
    for (const { ticket, stream, mailbox } of [...open.values()].filter(isAffected)) {
      open.delete(ticket)
      if (type === 'homeMoved') stream.withdraw(ticket)
      mailbox.post({ type, ticket })
    }
  }

  /** Reports a grant to the current owner of its target. */
  function reassign (grant: HeldGrant): void {
    const { ticket, batch, target } = grant
    grant.stream = undefined
    grant.stream = pool.getStream(target, { ticket, batch, targetId: target.id })
  }

  function onMembersChanged (): void {
    closeWaiting((ticket) => pool.findOwner(ticket.target)?.id !== ticket.stream.owner.id, 'homeMoved')
    for (const grant of grants.values()) {
      const owner = pool.findOwner(grant.target)
      if (owner === undefined || owner.id === grant.stream?.owner.id) continue
      grant.stream?.releaseMoved(grant.ticket)
      reassign(grant)
    }
  }

  function requestSlot (request: TicketRequest, mailbox: Pick<Mailbox<TicketEvent>, 'post'>): number | undefined {
    const { target, req, deadlineMs, ignoreEjection } = request
    const stream = pool.getStream(target)
    if (stream === undefined) return undefined
    lastTicket += 1
    const ticket = lastTicket
    const batch = req.workClass === 'batch'
    open.set(ticket, { ticket, target, batch, stream, mailbox })
    stream.acquire({ ticket, targetId: target.id, batch, req, deadlineMs, ignoreEjection })
    return ticket
  }

  function withdraw (ticket: number): void {
    removeOpen(ticket)?.stream.withdraw(ticket)
    const grant = grants.get(ticket)
    grants.delete(ticket)
    grant?.stream?.withdraw(ticket)
  }

  function toSlotGrant (ticket: number): SlotGrant | undefined {
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
        grant.stream?.release(ticket, report)
      }
    }
  }

  return {
    request: requestSlot,
    withdraw,
    getGrant: toSlotGrant,
    close: () => {
      unsubscribe()
      pool.close()
    }
  }
}
