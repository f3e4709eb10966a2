/** What the feed of platform objects needs to know of the peers. */
import { create } from '@bufbuild/protobuf'
import { MemberStateSchema, type createObjectFeed, type Peer } from '../shared'
import type { Gossip, PeerView } from './gossip'

/** Time in which peers may be heard after the start, in milliseconds. */
const FIRST_PEERS_MS = 300

/** The feed's view of the peers; what else members tell each other travels by datagrams. */
export function feedMembersOf (gossip: Gossip): Parameters<typeof createObjectFeed>[0]['members'] {
  const nothing = { state: create(MemberStateSchema, {}), isNews: false }
  return {
    peers: () => gossip.peers().filter(({ report }) => report.stage !== 'leaving').map(peerOf),
    ready: async () => await new Promise((resolve) => { setTimeout(resolve, FIRST_PEERS_MS) }),
    ask: () => ({ $typeName: 'pimentoplank.v1.MemberAsk', listDigest: '', listAgeMs: 0, signsToken: '' }),
    answer: () => nothing,
    merge: () => undefined,
    mergeSigns: () => undefined,
    onNews: () => () => undefined,
    onOwnSigns: () => () => undefined
  }
}

function peerOf ({ report }: PeerView): Peer {
  return { id: report.instance, failureDomain: report.failureDomain, peerAddress: report.peerAddress }
}
