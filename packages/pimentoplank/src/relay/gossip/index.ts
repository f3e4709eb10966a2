export { decodeDatagram, encodeLoad, type DomainUses } from './datagrams'
export { startGossip, type Gossip, type GossipOptions, type FarUses, type OwnLoad, type OwnReport } from './gossip'
export { FIRST_EPOCH } from './types'
export type {
  AnsweredPart, CrashingParts, CrashNotice, CrashReport, JobOwnership, LeavingNotice, LimitNotice, PeerView, Report,
  Stage, StreamNotice, TargetUse, WaitingItems
} from './types'
export type { GossipTimings, GossipSettings } from './gossipSettings'
