/** The streams of this process to slot owners: finds the owner of a target, and skips owners that have failed. */
import { createClient } from '@connectrpc/connect'
import type { Instance, Target } from '../membership'
import { SlotService, type HomeFrame } from '../rpc'
import { createHomeLink, type HeldSlot, type HomeLink, type LinkEnd } from './homeLink'
import type { HomeOrder } from './homeOrder'
import type { ResolvedSlotClientOptions } from './slotClient'
import type { OpenSlotStream } from './types'

/** Time for which an owner that has handed over its targets is skipped, in milliseconds. */
const HANDED_OVER_MS = 60_000

export interface HomeLinksOptions extends ResolvedSlotClientOptions {
  order: HomeOrder
  holderId: string
  onFrame: (stream: HomeLink, frame: HomeFrame) => void
  /** Called when a stream has ended; its open tickets must move to another owner. */
  onEnd: (stream: HomeLink, end: LinkEnd) => void
}

export interface HomeLinks {
  /** Returns the stream to the first reachable owner of a target, opening it if needed; undefined if there is none. */
  linkFor: (target: Target, held?: HeldSlot) => HomeLink | undefined
  /** Returns the first owner that is not skipped. */
  homeOf: (target: Target) => Instance | undefined
  /** Skips an owner that has handed over its targets. */
  noteHandedOver: (stream: HomeLink) => void
  close: () => void
}

export function createHomeLinks (options: HomeLinksOptions): HomeLinks {
  const { clock, settings, order } = options
  const streams = new Map<string, HomeLink>()
  const skippedUntil = new Map<string, number>()

  function findReachableOwner (target: Target): Instance | undefined {
    if (settings.routing === 'localShares') return options.membership.instances('entry')[0]
    return order.of(target).find((instance) => (skippedUntil.get(instance.id) ?? 0) <= clock.now())
  }

  function getOpener (owner: Instance): OpenSlotStream | undefined {
    const isLocal = owner.id === options.instanceId || settings.routing === 'localShares'
    if (isLocal && options.localHome !== undefined) return options.localHome.open
    if (owner.peerAddress === undefined) return undefined
    const { peerAddress } = owner
    return (frames, signal) => createClient(SlotService, options.transports.to(peerAddress)).open(frames, { signal })
  }

  /** Skips an owner for a while, and drops its connection, which may never answer again. */
  function markUnreachable (owner: Instance): void {
    skip(owner, settings.lostHomeMs)
    if (owner.peerAddress !== undefined) options.transports.drop(owner.peerAddress)
  }

  function skip (owner: Instance, ms: number): void {
    skippedUntil.set(owner.id, clock.now() + ms)
  }

  function onEnd (stream: HomeLink, end: LinkEnd): void {
    if (streams.get(stream.home.id) === stream) streams.delete(stream.home.id)
    if (end === 'unreachable') markUnreachable(stream.home)
    if (end !== 'idle') options.log.debug({ home: stream.home.id, end }, 'slot stream ended')
    options.onEnd(stream, end)
  }

  function openStream (instance: Instance, held: readonly HeldSlot[]): HomeLink | undefined {
    const open = getOpener(instance)
    if (open === undefined) return undefined
    const { holderId, onFrame } = options
    const stream = createHomeLink({ home: instance, holderId, held, open, clock, settings, onFrame, onEnd })
    streams.set(instance.id, stream)
    return stream
  }

  return {
    homeOf: findReachableOwner,
    linkFor: (target, held) => {
      const owner = findReachableOwner(target)
      if (owner === undefined) return undefined
      const stream = streams.get(owner.id)
      if (stream === undefined) return openStream(owner, held === undefined ? [] : [held])
      if (held !== undefined) stream.hold(held)
      return stream
    },
    noteHandedOver: (stream) => {
      skip(stream.home, HANDED_OVER_MS)
      streams.delete(stream.home.id)
    },
    close: () => {
      for (const stream of [...streams.values()]) stream.close()
    }
  }
}
