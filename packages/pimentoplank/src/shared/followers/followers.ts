/** The state that every program follows: members, objects, configuration and model placement. */
import type { ConnectRouter } from '@connectrpc/connect'
import { createSystemClock, type Clock } from '../clock'
import { CONFIG_KINDS, createConfigFollower, type ConfigFollower } from '../config'
import { createObjectFeed, type FeedTimings, type Peer, type PeeredFeed } from '../feed'
import { createModelPlacement, type ModelPlacement } from '../fleet'
import type { Log } from '../logging'
import { createMembershipFollower, type MembershipFollower, type MembershipTimings } from '../membership'
import type { Metrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import type { PlatformClient } from '../platform'
import type { Random } from '../random'
import type { PeerTransports } from '../rpc'

export interface FollowersOptions {
  platform: PlatformClient
  transports: PeerTransports
  /** This instance; `peerAddress` may be missing until the peer server listens. */
  instance: Peer
  /** Addresses of peers to poll while no instance list is known. */
  seeds?: readonly string[]
  /** Kinds to follow in addition to configuration, placement and quarantine. */
  kinds?: readonly string[]
  clock?: Clock
  random?: Random
  metrics: Metrics
  log: Log
  /** Number of instances per failure domain that watch the platform. */
  watchersPerDomain?: number
  timings?: Partial<FeedTimings>
  membershipTimings?: Partial<MembershipTimings>
}

export interface Followers {
  feed: PeeredFeed
  membership: MembershipFollower
  config: ConfigFollower
  placement: ModelPlacement
  /** Registers the service that peers poll. */
  routes: (router: ConnectRouter) => void
  /** Resolves when the configuration has been read once, from the platform or a peer. */
  ready: () => Promise<void>
  close: () => Promise<void>
}

const COMMON_KINDS: readonly string[] = [...CONFIG_KINDS, OBJECT_KINDS.status, OBJECT_KINDS.quarantine]

/** Creates the followers of a process and starts them. */
export function createFollowers (options: FollowersOptions): Followers {
  const common = { ...options, clock: options.clock ?? createSystemClock(), random: options.random ?? Math.random }
  const membership = createMembershipFollower({ ...common, timings: options.membershipTimings })
  const kinds = [...new Set([...COMMON_KINDS, ...(options.kinds ?? [])])]
  const feed = createObjectFeed({ ...common, members: membership, kinds })
  const config = createConfigFollower({ ...common, feed })
  return {
    feed,
    membership,
    config,
    placement: createModelPlacement({ feed }),
    routes: feed.routes,
    ready: config.ready,
    close: async () => {
      config.close()
      await Promise.all([feed.close(), membership.close()])
    }
  }
}
