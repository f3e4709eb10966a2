/** The links of this process to homes: which one a target's slots come from, and where grants go when it is lost. */
import { createClient } from '@connectrpc/connect'
import type { Instance, Target } from '../membership'
import { SlotService, type HomeFrame } from '../rpc'
import { createHomeLink, type HeldSlot, type HomeLink, type LinkEnd } from './homeLink'
import type { HomeOrder } from './homeOrder'
import type { ResolvedSlotClientOptions } from './slotClient'
import type { OpenSlotStream } from './types'

/** Time for which a home that has handed over is passed over, in milliseconds. */
const HANDED_OVER_MS = 60_000

export interface HomeLinksOptions extends ResolvedSlotClientOptions {
  order: HomeOrder
  holderId: string
  onFrame: (link: HomeLink, frame: HomeFrame) => void
  /** A link ended; work that was open on it goes on elsewhere. */
  onEnd: (link: HomeLink, end: LinkEnd) => void
}

export interface HomeLinks {
  /** The link to the first reachable home of a target; undefined when no home can be reached. */
  linkFor: (target: Target, held?: HeldSlot) => HomeLink | undefined
  /** The first home that is not passed over. */
  homeOf: (target: Target) => Instance | undefined
  /** Passes a home over that has handed its targets over. */
  noteHandedOver: (link: HomeLink) => void
  close: () => void
}

/** Creates the links of a process; each opens on first use. */
export function createHomeLinks (options: HomeLinksOptions): HomeLinks {
  const { clock, settings, order } = options
  const links = new Map<string, HomeLink>()
  const passedOverUntil = new Map<string, number>()

  function homeOf (target: Target): Instance | undefined {
    if (settings.routing === 'localShares') return options.membership.instances('entry')[0]
    return order.of(target).find((instance) => (passedOverUntil.get(instance.id) ?? 0) <= clock.now())
  }

  function openerOf (home: Instance): OpenSlotStream | undefined {
    const isLocal = home.id === options.instanceId || settings.routing === 'localShares'
    if (isLocal && options.localHome !== undefined) return options.localHome.open
    if (home.peerAddress === undefined) return undefined
    const { peerAddress } = home
    return (frames, signal) => createClient(SlotService, options.transports.to(peerAddress)).open(frames, { signal })
  }

  /** Passes a home over for a while, and gives up its connection, which may be silent for good. */
  function loseHome (home: Instance): void {
    passOver(home, settings.lostHomeMs)
    if (home.peerAddress !== undefined) options.transports.drop(home.peerAddress)
  }

  function passOver (home: Instance, ms: number): void {
    passedOverUntil.set(home.id, clock.now() + ms)
  }

  function onEnd (link: HomeLink, end: LinkEnd): void {
    if (links.get(link.home.id) === link) links.delete(link.home.id)
    if (end === 'unreachable') loseHome(link.home)
    if (end !== 'idle') options.log.debug({ home: link.home.id, end }, 'slot stream ended')
    options.onEnd(link, end)
  }

  function linkTo (home: Instance, held: readonly HeldSlot[]): HomeLink | undefined {
    const open = openerOf(home)
    if (open === undefined) return undefined
    const { holderId, onFrame } = options
    const link = createHomeLink({ home, holderId, held, open, clock, settings, onFrame, onEnd })
    links.set(home.id, link)
    return link
  }

  return {
    homeOf,
    linkFor: (target, held) => {
      const home = homeOf(target)
      if (home === undefined) return undefined
      const link = links.get(home.id)
      if (link === undefined) return linkTo(home, held === undefined ? [] : [held])
      if (held !== undefined) link.hold(held)
      return link
    },
    noteHandedOver: (link) => {
      passOver(link.home, HANDED_OVER_MS)
      links.delete(link.home.id)
    },
    close: () => {
      for (const link of [...links.values()]) link.close()
    }
  }
}
