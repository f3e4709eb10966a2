export { startGossip, type Gossip, type GossipOptions, type GossipSettings, type OwnLoad, type OwnReport } from './gossip'
export type { CrashNote, JobNote, PeerView, Report, Stage, TargetUse, WaitingItems } from './types'
