/** Several instances in one process that receive the changes of one platform stand-in directly and from each other. */
import { createPlatformStandin, type PlatformStandin } from '@pimentoplank/standins'
import { createLink, type Link } from '../../../standins/src/link'
import {
  createFollowers, createMetrics, createPeerServer, createPeerTransports, createPlatformClient, createSilentLog,
  type Followers, type InstanceRecord, type Metrics, type Peer, type PeerServer, type PeerTransports,
  type PlatformClient
} from '../../src/shared'

const SHARED_KEY = 'a-key-for-tests-only'
const security = { sharedKey: SHARED_KEY }

/** A fraction of the product's timings, so that scenarios which wait for several of them end soon. */
const SHORT_TIMINGS = { watchWaitMs: 1000, pollWaitMs: 400, pollMarginMs: 200, staleAfterMs: 1500, maxPauseMs: 200 }
const SHORT_MEMBERSHIP_TIMINGS = { readEveryMs: 200, staleAfterMs: 1000 }
const SHORT = { timings: SHORT_TIMINGS, membershipTimings: SHORT_MEMBERSHIP_TIMINGS }
/** Address without a listener. */
const DEAD_ADDRESS = '127.0.0.1:9'

export interface ClusterMember {
  id: string
  followers: Followers
  metrics: Metrics
  /** Configuration sequence numbers in the order in which they were applied. */
  sequences: number[]
  /** Links to the platform and to the peer server, which a test can cut. */
  platformLink: Link
  peerLink: Link
  server: PeerServer
  /** Fails the member's own connections to peers, or allows them again. */
  isolate: (isIsolated: boolean) => void
  stop: () => Promise<void>
}

export interface MemberOptions {
  seeds?: string[]
  /** Address of another platform, such as a lagging replica. */
  platformAddress?: string
}

export interface FollowerCluster {
  platform: PlatformStandin
  members: Map<string, ClusterMember>
  /** Client for operators and assertions; not affected by the links of the instances. */
  client: PlatformClient
  start: (id: string, failureDomain: string, options?: MemberOptions) => Promise<ClusterMember>
  close: () => Promise<void>
}

/** Starts the platform stand-in; tests start each instance. */
export async function startFollowerCluster (
  clusterOptions: { productTimings?: boolean } = {}
): Promise<FollowerCluster> {
  const platform = createPlatformStandin()
  const { address, url } = await platform.start()
  const client = createPlatformClient({ url })
  const members = new Map<string, ClusterMember>()

  async function start (id: string, failureDomain: string, options: MemberOptions = {}): Promise<ClusterMember> {
    const platformLink = await createLink(options.platformAddress ?? address)
    const own = createPlatformClient({ url: `http://${platformLink.address}`, timeoutMs: 500, instance: id })
    const { transports, isolate } = createIsolatableTransports()
    const metrics = createMetrics()
    const instance: Peer = { id, failureDomain }
    const followers = createFollowers({
      platform: own,
      transports,
      instance,
      seeds: options.seeds,
      metrics,
      log: createSilentLog(),
      ...(clusterOptions.productTimings === true ? {} : SHORT)
    })
    const server = (await createPeerServer({
      host: '127.0.0.1', port: 0, security, routes: followers.routes
    }))._unsafeUnwrap()
    const peerLink = await createLink(server.address)
    instance.peerAddress = peerLink.address
    const sequences: number[] = []
    followers.config.onChange(({ sequence }) => sequences.push(sequence))
    const { address: peerAddress } = peerLink
    const record: InstanceRecord = {
      id, role: 'entry', address: peerAddress, peerAddress, failureDomain, region: 'r', state: 'live'
    }
    platform.putInstance(record)

    async function stop (): Promise<void> {
      members.delete(id)
      await server.close()
      transports.close()
      await Promise.all([followers.close(), platformLink.close(), peerLink.close()])
      await own.close()
    }

    const member = { id, followers, metrics, sequences, platformLink, peerLink, server, isolate, stop }
    members.set(id, member)
    return member
  }

  return {
    platform,
    members,
    client,
    start,
    close: async () => {
      await Promise.all([...members.values()].map(async (member) => await member.stop()))
      await client.close()
      await platform.close()
    }
  }
}

/** Creates transports whose peers can all be made unreachable. */
function createIsolatableTransports (): { transports: PeerTransports, isolate: (isIsolated: boolean) => void } {
  const real = createPeerTransports({ security })
  const used = new Set<string>()
  let isIsolated = false
  return {
    transports: {
      ...real,
      get: (address) => {
        used.add(address)
        return real.get(isIsolated ? DEAD_ADDRESS : address)
      }
    },
    isolate: (next) => {
      isIsolated = next
      for (const address of used) real.disconnect(address)
    }
  }
}
