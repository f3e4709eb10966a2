/** The feed of an instance: configuration and targets, from the platform or from peers. */
import {
  createObjectFeed,
  type Clock, type Log, type Metrics, type PeeredFeed, type PeerTransports, type PlatformClient, type Random
} from '../shared'
import { FEED_TIMINGS } from './constants'
import { createFeedMembers } from './feedMembers'
import type { Gossip } from './gossip'
import type { RelaySettings } from './settings'

export interface RelayFeedOptions {
  settings: Pick<RelaySettings, 'instance' | 'seeds'>
  /** Address for calls of peers. */
  peerAddress: string
  /** Object kinds to follow. */
  kinds: readonly string[]
  platform: PlatformClient
  transports: PeerTransports
  gossip: Gossip
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

/** Creates the feed and starts it. */
export function createRelayFeed ({ settings, peerAddress, gossip, ...rest }: RelayFeedOptions): PeeredFeed {
  const { instance: { id, failureDomain }, seeds } = settings
  return createObjectFeed({
    ...rest,
    instance: { id, failureDomain, peerAddress },
    seeds,
    members: createFeedMembers(gossip),
    watchersPerDomain: 1,
    timings: FEED_TIMINGS,
    isPlatformCurrent: true
  })
}
