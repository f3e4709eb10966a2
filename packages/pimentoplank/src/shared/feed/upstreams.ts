/** Selects the instances that watch the platform, and the peers that an instance polls. */
import { rankByRendezvous } from '../hashing'

const WATCHER_KEY = 'feed'

/** The properties of an instance that the selection needs. */
export interface Peer {
  id: string
  failureDomain: string
  peerAddress?: string
}

export interface UpstreamOptions {
  self: Peer
  /** Known instances, with or without this one. */
  peers: readonly Peer[]
  watchersPerDomain: number
}

/** Finds the instances of a failure domain that watch the platform: those with the highest rendezvous weights. */
export function findWatchers (failureDomain: string, options: UpstreamOptions): Peer[] {
  const { self, peers, watchersPerDomain: watcherCount } = options
  const members = [self, ...peers.filter((peer) => peer.id !== self.id)]
  const inDomain = members.filter((peer) => peer.failureDomain === failureDomain)
  return rankByRendezvous(WATCHER_KEY, inDomain, (peer) => peer.id).slice(0, watcherCount)
}

/** Checks whether this instance is to watch the platform. */
export function isWatcher (options: UpstreamOptions): boolean {
  return findWatchers(options.self.failureDomain, options).some((peer) => peer.id === options.self.id)
}

/**
 * Ranks the instances to poll, best first. A follower starts with the watchers of its failure domain. A watcher
 * alternates between its own and the next failure domain, so that watchers form a ring. Both go on with the other
 * watchers, then with all other instances.
 */
export function rankUpstreams (options: UpstreamOptions): Peer[] {
  const { self } = options
  const ring = toDomainRing(options)
  const watchers = ring.map((domain) => spread(self, findWatchers(domain, options)))
  const [own = [], ...others] = watchers
  const rest = spread(self, options.peers)
  const ownPeers = own.filter((peer) => peer.id !== self.id)
  const first = isWatcher(options) ? alternate(ownPeers, others[0] ?? []) : ownPeers
  const ordered = dedupe([...first, ...others.flat(), ...rest])
  return ordered.filter((peer) => peer.id !== self.id && peer.peerAddress !== undefined)
}

/** Lists the failure domains as a ring that starts with that of this instance. */
function toDomainRing ({ self, peers }: UpstreamOptions): string[] {
  const domains = [...new Set([self.failureDomain, ...peers.map((peer) => peer.failureDomain)])].sort()
  const start = domains.indexOf(self.failureDomain)
  return [...domains.slice(start), ...domains.slice(0, start)]
}

/** Orders peers differently for each instance, to spread the load over them. */
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
