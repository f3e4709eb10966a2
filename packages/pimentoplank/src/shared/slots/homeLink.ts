/** The stream of this process to one home. */
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
/** Longest deadline that fits the message, in milliseconds. */
const MAX_DEADLINE_MS = 2 ** 31 - 1

/** A grant as its home knows it. */
export interface HeldSlot {
  ticket: number
  targetId: string
  batch: boolean
}

export interface Ask extends HeldSlot {
  req: SlotRequest
  deadlineMs: number
  ignoreEjection: boolean
}

/**
 * Why a link ended.
 *
 * - `cut`: the stream broke after it had worked
 * - `unreachable`: it could not be opened, or the home did not answer
 * - `idle`: nothing was open on it
 */
export type LinkEnd = 'cut' | 'unreachable' | 'idle'

export interface HomeLinkOptions {
  home: Instance
  /** Unique for this run of this process. */
  holderId: string
  /** Grants that the home is told with the first frame. */
  held: readonly HeldSlot[]
  open: OpenSlotStream
  clock: Clock
  settings: SlotClientSettings
  onFrame: (link: HomeLink, frame: HomeFrame) => void
  onEnd: (link: HomeLink, end: LinkEnd) => void
}

export interface HomeLink {
  readonly home: Instance
  ask: (ask: Ask) => void
  withdraw: (ticket: number) => void
  release: (ticket: number, report: SlotReport) => void
  /** Tells the home of a grant that another one gave. */
  hold: (held: HeldSlot) => void
  /** Tells the home that another one keeps the grant from now on. */
  moveAway: (ticket: number) => void
  close: () => void
}

const RESULTS: Record<SlotReport['result'], SlotResult> = {
  done: SlotResult.DONE,
  failed: SlotResult.FAILED,
  notRun: SlotResult.NOT_RUN,
  revoked: SlotResult.REVOKED,
  crashed: SlotResult.CRASHED
}

/** Opens a link and keeps it until it ends or is closed. */
export function createHomeLink (options: HomeLinkOptions): HomeLink {
  const { clock, settings } = options
  const outbox = createFrameOutbox<HolderFrame>(() => create(HolderFrameSchema))
  const ended = new AbortController()
  const aborted = new AbortController()
  /** Tickets without any answer yet, by the time of asking; 0 stands for the hello. */
  const unanswered = new Map<number, number>()
  /** Tickets that wait or hold a slot. */
  const openTickets = new Set<number>()
  let isUp = false
  let lastHeardAt = clock.now()
  let lastUsedAt = clock.now()
  let watching = false

  async function run (): Promise<void> {
    try {
      for await (const frame of options.open(outbox.frames(), aborted.signal)) {
        if (ended.signal.aborted) return
        receive(frame)
      }
    } catch {
      // What is wrong with the connection does not matter; the next home is tried.
    } finally {
      end(isUp ? 'cut' : 'unreachable')
    }
  }

  function receive (frame: HomeFrame): void {
    isUp = true
    lastHeardAt = clock.now()
    unanswered.delete(0)
    for (const ticket of [...frame.granted, ...frame.queued]) unanswered.delete(ticket)
    for (const refusal of frame.refused) {
      unanswered.delete(refusal.ticket)
      openTickets.delete(refusal.ticket)
    }
    options.onFrame(link, frame)
  }

  function end (reason: LinkEnd): void {
    if (ended.signal.aborted) return
    ended.abort()
    outbox.close()
    abortConnection(reason)
    options.onEnd(link, reason)
  }

  async function abortConnection (reason: LinkEnd): Promise<void> {
    // The last releases are sent before the stream closes.
    if (reason === 'idle') await clock.sleep(settings.answerTimeoutMs)
    aborted.abort()
  }

  function expectAnswer (ticket: number): void {
    unanswered.set(ticket, clock.now())
    if (!watching) watchAnswers()
  }

  /** Ends the link when a question stays unanswered for too long. */
  async function watchAnswers (): Promise<void> {
    watching = true
    while (unanswered.size > 0 && !ended.signal.aborted) {
      const [oldest = 0] = unanswered.values()
      const due = oldest + settings.answerTimeoutMs
      if (clock.now() < due) {
        await clock.sleep(Math.max(1, due - clock.now()), ended.signal)
        // Answers that have arrived while this process was busy are read first.
        await setImmediate()
      } else {
        end('unreachable')
      }
    }
    watching = false
  }

  /** Sends a heartbeat where nothing else was sent, and notices a home that has gone silent. */
  async function beat (): Promise<void> {
    while (!ended.signal.aborted) {
      const taken = outbox.taken()
      await clock.sleep(settings.heartbeatMs, ended.signal)
      if (ended.signal.aborted) return
      checkSilence()
      if (openTickets.size > 0 && outbox.taken() === taken) outbox.add(() => undefined)
    }
  }

  function checkSilence (): void {
    const now = clock.now()
    if (openTickets.size > 0 && now - Math.max(lastHeardAt, lastUsedAt) >= settings.silentAfterMs) end('unreachable')
    if (openTickets.size === 0 && now - lastUsedAt >= settings.idleCloseMs) end('idle')
  }

  function drop (ticket: number): void {
    unanswered.delete(ticket)
    openTickets.delete(ticket)
    lastUsedAt = clock.now()
  }

  const link: HomeLink = {
    home: options.home,
    ask: (ask) => {
      if (openTickets.size === 0) lastUsedAt = clock.now()
      openTickets.add(ask.ticket)
      outbox.add((frame) => frame.acquires.push(create(SlotAcquireSchema, acquireFields(ask))))
      expectAnswer(ask.ticket)
    },
    withdraw: (ticket) => {
      drop(ticket)
      outbox.add((frame) => frame.withdrawn.push(ticket))
    },
    release: (ticket, report) => {
      drop(ticket)
      outbox.add((frame) => frame.releases.push(create(SlotReleaseSchema, releaseFields(ticket, report))))
    },
    hold: (held) => {
      if (openTickets.size === 0) lastUsedAt = clock.now()
      openTickets.add(held.ticket)
      outbox.add((frame) => frame.held.push(heldMessage(held)))
    },
    moveAway: (ticket) => {
      drop(ticket)
      outbox.add((frame) => frame.releases.push(create(SlotReleaseSchema, { ticket, result: SlotResult.MOVED })))
    },
    close: () => end('idle')
  }

  for (const held of options.held) openTickets.add(held.ticket)
  outbox.add((frame) => {
    frame.hello = create(SlotHelloSchema, { holder: options.holderId })
    frame.held.push(...options.held.map(heldMessage))
  })
  expectAnswer(0)
  run()
  beat()
  return link
}

function heldMessage ({ ticket, targetId, batch }: HeldSlot): ReturnType<typeof create<typeof SlotHeldSchema>> {
  return create(SlotHeldSchema, { ticket, target: targetId, batch })
}

function acquireFields (ask: Ask): Parameters<typeof create<typeof SlotAcquireSchema>>[1] {
  return {
    ticket: ask.ticket,
    target: ask.targetId,
    batch: ask.batch,
    account: ask.req.account,
    weight: ask.req.weight === 1 ? 0 : ask.req.weight,
    deadlineMs: Math.min(MAX_DEADLINE_MS, Math.max(1, Math.ceil(ask.deadlineMs))),
    ignoreEjection: ask.ignoreEjection
  }
}

function releaseFields (ticket: number, report: SlotReport): Parameters<typeof create<typeof SlotReleaseSchema>>[1] {
  return {
    ticket,
    result: RESULTS[report.result],
    firstTokenMs: Math.round(report.firstTokenMs ?? 0),
    tokenGapUs: Math.round((report.tokenGapMs ?? 0) * US_PER_MS)
  }
}
