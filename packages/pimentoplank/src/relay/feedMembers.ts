/** Provides the object feed with the list of peers. */
import { create } from '@bufbuild/protobuf'
import { MemberStateSchema, type createObjectFeed, type Peer } from '../shared'
import type { Gossip, PeerView } from './gossip'

/** Time allowed for discovering peers after the start, in milliseconds. */
const PEER_DISCOVERY_MS = 300

/** Creates the feed's view of the peers. Its other messages between members are unused: gossip carries that state. */
export function createFeedMembers (gossip: Gossip): Parameters<typeof createObjectFeed>[0]['members'] {
  const emptyAnswer = { state: create(MemberStateSchema, {}), isNews: false }
  return {
    peers: () => gossip.peers().filter(({ report }) => report.stage !== 'leaving').map(toPeer),
    ready: async () => await new Promise((resolve) => { setTimeout(resolve, PEER_DISCOVERY_MS) }),
    buildQuery: () => ({ $typeName: 'pimentoplank.v1.MemberAsk', listDigest: '', listAgeMs: 0, signsToken: '' }),
    buildResponse: () => emptyAnswer,
    merge: () => undefined,
    mergeNotices: () => undefined,
    onUpdate: () => () => undefined,
    onOwnNotices: () => () => undefined
  }
}

function toPeer ({ report }: PeerView): Peer {
  return { id: report.instance, failureDomain: report.failureDomain, peerAddress: report.peerAddress }
}
