/** Times and limits of the relay that no setting changes. */
import type { FeedTimings } from '../shared'
import type { GossipSettings } from './gossip'

/** How instances tell each other of their load and that they live. */
export const GOSSIP_SETTINGS: GossipSettings = {
  // A deployment of a dozen instances hears all of each change.
  maxClosePeers: 16,
  // Replays show what an older view costs. A silent peer has missed several heartbeats.
  pace: { minGapMs: 10, heartbeatMs: 300, silentAfterMs: 1500 },
  // Each datagram costs processor time at a dozen peers.
  paceOfLargeFleet: { minGapMs: 60, heartbeatMs: 800, silentAfterMs: 2500 },
  farFactor: 4,
  digestMs: 250
}
/** Instances of a large fleet that send their requests to a target first; others follow when these have no room. */
export const PREFERRING_INSTANCES = 3
/** Callers are sent to their own failure domain only where at least so many instances serve there. */
export const ENOUGH_NEAR_INSTANCES = 4
/** How often work that depends on time is looked at, in milliseconds. */
export const TICK_MS = 100
/** Share of the drain bound for which targets whose entries lapsed together are still used. */
export const REMOVAL_GRACE_SHARE = 0.8
/** Limit for a connection to a target, in milliseconds; a few round trips within a region. */
export const TARGET_CONNECT_TIMEOUT_MS = 250
/** Unused connections to targets are closed after this time, in milliseconds. */
export const TARGET_KEEP_IDLE_MS = 3000
/** Targets that have to break off on the same content before it is refused; the platform allows for three. */
export const CRASH_LIMIT = 3
/** How long such a request is remembered, in milliseconds. */
export const CRASH_KEEP_MS = 600_000
/** How long callers may keep the directory's answer, in milliseconds; a stop waits for three times as long. */
export const DIRECTORY_MAX_AGE_MS = 1000
/** Callers keep the directory's answer for up to this many times its age. */
export const DIRECTORY_OVERSTAY = 3
/** Most addresses in one answer of the directory. */
export const DIRECTORY_MAX_ADDRESSES = 64
/** How long peers are told of a change of a job, in milliseconds. */
export const JOB_NOTICE_MS = 5000
/** Times of following the platform, in milliseconds. */
export const FEED_TIMINGS: FeedTimings = {
  // With its margin a watch is shorter than an outage of the platform is forgiven for.
  watchWaitMs: 2000,
  watchMarginMs: 700,
  pollWaitMs: 1000,
  pollMarginMs: 500,
  // Longer than a watch and a poll together, so that it is passed only when no peer hears of the platform.
  staleAfterMs: 4000,
  maxPauseMs: 500
}
