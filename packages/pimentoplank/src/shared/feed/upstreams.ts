/** Which instances hold the platform's watches, and whom an instance polls. */
import { rankByRendezvous } from '../hashing'

const HOLDER_KEY = 'feed'

/** What is needed of an instance to place it. */
export interface Peer {
  id: string
  failureDomain: string
  peerAddress?: string
}

export interface UpstreamOptions {
  self: Peer
  /** Instances that are there, with or without this one. */
  peers: readonly Peer[]
  holdersPerDomain: number
}

/** Names the instances of a failure domain that hold the watches: those with the highest rendezvous weights. */
export function holdersOf (failureDomain: string, options: UpstreamOptions): Peer[] {
  const { self, peers, holdersPerDomain } = options
  const members = [self, ...peers.filter((peer) => peer.id !== self.id)]
  const inDomain = members.filter((peer) => peer.failureDomain === failureDomain)
  return rankByRendezvous(HOLDER_KEY, inDomain, (peer) => peer.id).slice(0, holdersPerDomain)
}

/** Tells whether this instance holds the watches. */
export function isHolder (options: UpstreamOptions): boolean {
  return holdersOf(options.self.failureDomain, options).some((peer) => peer.id === options.self.id)
}

/**
 * Orders the instances to poll, best first: for a follower the holders of its own failure domain; for a holder one of
 * its own and one of the next failure domain, so that holders form a ring; then other holders, then anyone.
 */
export function rankUpstreams (options: UpstreamOptions): Peer[] {
  const { self } = options
  const ring = domainRing(options)
  const holders = ring.map((domain) => spread(self, holdersOf(domain, options)))
  const [own = [], ...others] = holders
  const rest = spread(self, options.peers)
  const ownPeers = own.filter((peer) => peer.id !== self.id)
  const first = isHolder(options) ? alternate(ownPeers, others[0] ?? []) : ownPeers
  const ordered = dedupe([...first, ...others.flat(), ...rest])
  return ordered.filter((peer) => peer.id !== self.id && peer.peerAddress !== undefined)
}

/** Failure domains in a ring, from the own one on. */
function domainRing ({ self, peers }: UpstreamOptions): string[] {
  const domains = [...new Set([self.failureDomain, ...peers.map((peer) => peer.failureDomain)])].sort()
  const start = domains.indexOf(self.failureDomain)
  return [...domains.slice(start), ...domains.slice(0, start)]
}

/** Orders peers differently for each instance, so that no one is first for all. */
function spread (self: Peer, peers: readonly Peer[]): Peer[] {
  return rankByRendezvous(self.id, peers, (peer) => peer.id)
}

function alternate (own: readonly Peer[], next: readonly Peer[]): Peer[] {
  const length = Math.max(own.length, next.length)
  return Array.from({ length }, (_, index) => [own[index], next[index]]).flat().filter((peer) => peer !== undefined)
}

function dedupe (peers: readonly Peer[]): Peer[] {
  return [...new Map(peers.map((peer) => [peer.id, peer])).values()]
}
