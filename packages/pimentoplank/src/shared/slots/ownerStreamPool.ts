/** The streams of this process to slot owners: finds the owner of a target, and skips owners that have failed. */
import { createClient } from '@connectrpc/connect'
import type { Instance, Target } from '../membership'
import { SlotService, type HomeFrame } from '../rpc'
import { createOwnerStream, type HeldSlot, type OwnerStream, type StreamEndReason } from './ownerStream'
import type { OwnerOrder } from './ownerOrder'
import type { ResolvedSlotClientOptions } from './slotClient'
import type { OpenSlotStream } from './types'

/** Time for which an owner that has handed over its targets is skipped, in milliseconds. */
const HANDED_OVER_MS = 60_000

export interface OwnerStreamPoolOptions extends ResolvedSlotClientOptions {
  order: OwnerOrder
  holderId: string
  onFrame: (stream: OwnerStream, frame: HomeFrame) => void
  /** Called when a stream has ended; its open tickets must move to another owner. */
  onEnd: (stream: OwnerStream, end: StreamEndReason) => void
}

export interface OwnerStreamPool {
  /** Returns the stream to the first reachable owner of a target, opening it if needed; undefined if there is none. */
  getStream: (target: Target, held?: HeldSlot) => OwnerStream | undefined
  /** Returns the first owner that is not skipped. */
  findOwner: (target: Target) => Instance | undefined
  /** Skips an owner that has handed over its targets. */
  markHandedOver: (stream: OwnerStream) => void
  close: () => void
}

export function createOwnerStreamPool (options: OwnerStreamPoolOptions): OwnerStreamPool {
  const { clock, settings, order } = options
  const streams = new Map<string, OwnerStream>()
  const skippedUntil = new Map<string, number>()

  function findReachableOwner (target: Target): Instance | undefined {
    if (settings.routing === 'localShares') return options.membership.instances('entry')[0]
    return order.getOwners(target).find((instance) => (skippedUntil.get(instance.id) ?? 0) <= clock.now())
  }

  function getOpener (owner: Instance): OpenSlotStream | undefined {
    const isLocal = owner.id === options.instanceId || settings.routing === 'localShares'
    if (isLocal && options.localScheduler !== undefined) return options.localScheduler.open
    if (owner.peerAddress === undefined) return undefined
    const { peerAddress } = owner
    return (frames, signal) => createClient(SlotService, options.transports.get(peerAddress)).open(frames, { signal })
  }

  /** Skips an owner for a while, and drops its connection, which may never answer again. */
  function markUnreachable (owner: Instance): void {
    skip(owner, settings.lostHomeMs)
    if (owner.peerAddress !== undefined) options.transports.disconnect(owner.peerAddress)
  }

  function skip (owner: Instance, ms: number): void {
    skippedUntil.set(owner.id, clock.now() + ms)
  }

  function onEnd (stream: OwnerStream, end: StreamEndReason): void {
    if (streams.get(stream.owner.id) === stream) streams.delete(stream.owner.id)
    if (end === 'unreachable') markUnreachable(stream.owner)
    if (end !== 'idle') options.log.debug({ home: stream.owner.id, end }, 'slot stream ended')
    options.onEnd(stream, end)
  }

  function openStream (instance: Instance, held: readonly HeldSlot[]): OwnerStream | undefined {
    const open = getOpener(instance)
    if (open === undefined) return undefined
    const { holderId, onFrame } = options
    const stream = createOwnerStream({ owner: instance, holderId, held, open, clock, settings, onFrame, onEnd })
    streams.set(instance.id, stream)
    return stream
  }

  return {
    findOwner: findReachableOwner,
    getStream: (target, held) => {
      const owner = findReachableOwner(target)
      if (owner === undefined) return undefined
      const stream = streams.get(owner.id)
      if (stream === undefined) return openStream(owner, held === undefined ? [] : [held])
      if (held !== undefined) stream.reportGrant(held)
      return stream
    },
    markHandedOver: (stream) => {
      skip(stream.owner, HANDED_OVER_MS)
      streams.delete(stream.owner.id)
    },
    close: () => {
      for (const stream of [...streams.values()]) stream.close()
    }
  }
}
