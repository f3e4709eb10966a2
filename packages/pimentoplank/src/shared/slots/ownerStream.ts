/** The stream from this process to one slot owner. */
import { create } from '@bufbuild/protobuf'
import { setImmediate } from 'node:timers/promises'
import type { Clock } from '../clock'
import type { Instance } from '../membership'
import {
  HolderFrameSchema, SlotAcquireSchema, SlotHeldSchema, SlotHelloSchema, SlotReleaseSchema, SlotResult,
  type HolderFrame, type HomeFrame
} from '../rpc'
import { createFrameOutbox } from './frameOutbox'
import type { SlotClientSettings } from './settings'
import type { OpenSlotStream, SlotReport, SlotRequest } from './types'

const US_PER_MS = 1000
/** Longest deadline sent to an owner, in milliseconds; it fits the field of the message. */
const MAX_DEADLINE_MS = 2 ** 31 - 1

/** A grant as it is reported to an owner. */
export interface HeldSlot {
  ticket: number
  targetId: string
  batch: boolean
}

export interface AcquireRequest extends HeldSlot {
  req: SlotRequest
  deadlineMs: number
  ignoreEjection: boolean
}

/**
 * Why a stream ended.
 *
 * - `cut`: it broke after the owner had sent a frame
 * - `unreachable`: it could not be opened, or the owner did not answer in time
 * - `idle`: it was closed, or had no open tickets for `idleCloseMs`
 */
export type StreamEndReason = 'cut' | 'unreachable' | 'idle'

export interface OwnerStreamOptions {
  owner: Instance
  /** Unique to this run of this process. */
  holderId: string
  /** Grants reported to the owner in the first frame. */
  held: readonly HeldSlot[]
  open: OpenSlotStream
  clock: Clock
  settings: SlotClientSettings
  onFrame: (stream: OwnerStream, frame: HomeFrame) => void
  onEnd: (stream: OwnerStream, end: StreamEndReason) => void
}

export interface OwnerStream {
  readonly owner: Instance
  acquire: (request: AcquireRequest) => void
  withdraw: (ticket: number) => void
  release: (ticket: number, report: SlotReport) => void
  /** Reports a grant that another owner has issued. */
  reportGrant: (held: HeldSlot) => void
  /** Releases a grant that another owner has taken over. */
  releaseMoved: (ticket: number) => void
  close: () => void
}

const RESULTS: Record<SlotReport['result'], SlotResult> = {
  done: SlotResult.DONE,
  failed: SlotResult.FAILED,
  notRun: SlotResult.NOT_RUN,
  revoked: SlotResult.REVOKED,
  crashed: SlotResult.CRASHED
}

/** Opens a stream that lasts until it fails, idles or is closed. */
export function createOwnerStream (options: OwnerStreamOptions): OwnerStream {
  const { clock, settings } = options
  const outbox = createFrameOutbox<HolderFrame>(() => create(HolderFrameSchema))
  const ended = new AbortController()
  const aborted = new AbortController()
  /** Send times of the requests without an answer yet, by ticket and oldest first; 0 is the hello. */
  const unanswered = new Map<number, number>()
  /** Tickets that wait for or hold a slot. */
  const openTickets = new Set<number>()
  let hasReceived = false
  let lastReceivedAt = clock.now()
  let lastUsedAt = clock.now()
  let isWatching = false

  async function run (): Promise<void> {
    try {
      for await (const frame of options.open(outbox.frames(), aborted.signal)) {
        if (ended.signal.aborted) return
        receive(frame)
      }
    } catch {
      // Every connection error is handled alike: the next owner is tried.
    } finally {
      end(hasReceived ? 'cut' : 'unreachable')
    }
  }

  function receive (frame: HomeFrame): void {
    hasReceived = true
    lastReceivedAt = clock.now()
    unanswered.delete(0)
    for (const ticket of [...frame.granted, ...frame.queued]) unanswered.delete(ticket)
    for (const refusal of frame.refused) {
      unanswered.delete(refusal.ticket)
      openTickets.delete(refusal.ticket)
    }
    options.onFrame(stream, frame)
  }

  function end (reason: StreamEndReason): void {
    if (ended.signal.aborted) return
    ended.abort()
    outbox.close()
    abortConnection(reason)
    options.onEnd(stream, reason)
  }

  async function abortConnection (reason: StreamEndReason): Promise<void> {
    // Leaves time to send the last releases before the connection closes.
    if (reason === 'idle') await clock.sleep(settings.answerTimeoutMs)
    aborted.abort()
  }

  function expectAnswer (ticket: number): void {
    unanswered.set(ticket, clock.now())
    if (!isWatching) watchAnswers()
  }

  /** Ends the stream when a request stays unanswered for `answerTimeoutMs`. */
  async function watchAnswers (): Promise<void> {
    isWatching = true
    while (unanswered.size > 0 && !ended.signal.aborted) {
      const [oldest = 0] = unanswered.values()
      const due = oldest + settings.answerTimeoutMs
      if (clock.now() < due) {
        await clock.sleep(Math.max(1, due - clock.now()), ended.signal)
        // Answers that arrived while the event loop was blocked are read before the owner counts as unreachable.
        await setImmediate()
      } else {
        end('unreachable')
      }
    }
    isWatching = false
  }

  /** Sends a heartbeat when nothing else was sent, and detects a silent owner. */
  async function runHeartbeat (): Promise<void> {
    while (!ended.signal.aborted) {
      const sentBefore = outbox.sentCount()
      await clock.sleep(settings.heartbeatMs, ended.signal)
      if (ended.signal.aborted) return
      checkTimeouts()
      if (openTickets.size > 0 && outbox.sentCount() === sentBefore) outbox.add(() => undefined)
    }
  }

  function checkTimeouts (): void {
    const now = clock.now()
    if (openTickets.size > 0 && now - Math.max(lastReceivedAt, lastUsedAt) >= settings.silentAfterMs) end('unreachable')
    if (openTickets.size === 0 && now - lastUsedAt >= settings.idleCloseMs) end('idle')
  }

  function closeTicket (ticket: number): void {
    unanswered.delete(ticket)
    openTickets.delete(ticket)
    lastUsedAt = clock.now()
  }

  const stream: OwnerStream = {
    owner: options.owner,
    acquire: (request) => {
      if (openTickets.size === 0) lastUsedAt = clock.now()
      openTickets.add(request.ticket)
      outbox.add((frame) => frame.acquires.push(create(SlotAcquireSchema, toAcquireFields(request))))
      expectAnswer(request.ticket)
    },
    withdraw: (ticket) => {
      closeTicket(ticket)
      outbox.add((frame) => frame.withdrawn.push(ticket))
    },
    release: (ticket, report) => {
      closeTicket(ticket)
      outbox.add((frame) => frame.releases.push(create(SlotReleaseSchema, toReleaseFields(ticket, report))))
    },
    reportGrant: (held) => {
      if (openTickets.size === 0) lastUsedAt = clock.now()
      openTickets.add(held.ticket)
      outbox.add((frame) => frame.held.push(toHeldMessage(held)))
    },
    releaseMoved: (ticket) => {
      closeTicket(ticket)
      outbox.add((frame) => frame.releases.push(create(SlotReleaseSchema, { ticket, result: SlotResult.MOVED })))
    },
    close: () => end('idle')
  }

  for (const held of options.held) openTickets.add(held.ticket)
  outbox.add((frame) => {
    frame.hello = create(SlotHelloSchema, { holder: options.holderId })
    frame.held.push(...options.held.map(toHeldMessage))
  })
  expectAnswer(0)
  run()
  runHeartbeat()
  return stream
}

function toHeldMessage ({ ticket, targetId, batch }: HeldSlot): ReturnType<typeof create<typeof SlotHeldSchema>> {
  return create(SlotHeldSchema, { ticket, target: targetId, batch })
}

function toAcquireFields (request: AcquireRequest): Parameters<typeof create<typeof SlotAcquireSchema>>[1] {
  return {
    ticket: request.ticket,
    target: request.targetId,
    batch: request.batch,
    account: request.req.account,
    weight: request.req.weight === 1 ? 0 : request.req.weight,
    deadlineMs: Math.min(MAX_DEADLINE_MS, Math.max(1, Math.ceil(request.deadlineMs))),
    ignoreEjection: request.ignoreEjection,
    begun: request.req.begun
  }
}

function toReleaseFields (ticket: number, report: SlotReport): Parameters<typeof create<typeof SlotReleaseSchema>>[1] {
  return {
    ticket,
    result: RESULTS[report.result],
    firstTokenMs: Math.round(report.firstTokenMs ?? 0),
    tokenGapUs: Math.round((report.tokenGapMs ?? 0) * US_PER_MS)
  }
}
