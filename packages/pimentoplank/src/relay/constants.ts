/** Fixed durations and limits of the relay that cannot be configured. */
import type { FeedTimings } from '../shared'
import type { GossipSettings } from './gossip'

/** Settings of load reports and heartbeats between instances. */
export const GOSSIP_SETTINGS: GossipSettings = {
  // In a deployment of a dozen instances, every instance receives every load change.
  maxClosePeers: 16,
  // Simulations show the cost of stale load data. A peer is declared lost only after several missed heartbeats.
  pace: { minGapMs: 10, heartbeatMs: 300, silentAfterMs: 1500 },
  // Each datagram costs CPU time on a dozen peers, so that a large fleet sends fewer of them.
  paceOfLargeFleet: { minGapMs: 60, heartbeatMs: 800, silentAfterMs: 2500 },
  farFactor: 4,
  digestMs: 250
}
/** Number of instances in a large fleet that prefer a given target; the others use it only when these have no room. */
export const PREFERRING_INSTANCES = 3
/** The directory answers with local instances only if at least this many serve in the failure domain of the caller. */
export const MIN_LOCAL_INSTANCES = 4
/** The directory lists instances that are cut off from targets, too, if fewer than this share are not. */
export const MIN_REACHING_SHARE = 0.25
/** Share of the drain bound during which targets that leave are used where no others are left; they answer until it. */
export const LEAVING_GRACE_SHARE = 0.5
/** Requests that arrive right after the start are held for up to this time after it, in milliseconds. */
export const MAX_START_WAIT_MS = 1000
/** Interval of periodic work, in milliseconds. */
export const TICK_INTERVAL_MS = 100
/** Share of the drain bound during which targets whose entries disappeared together are still used. */
export const REMOVAL_GRACE_SHARE = 0.8
/** Timeout for connecting to a target, in milliseconds: a few round trips within a region. */
export const TARGET_CONNECT_TIMEOUT_MS = 250
/** Idle connections to targets are closed after this time, in milliseconds. */
export const TARGET_IDLE_TIMEOUT_MS = 3000
/** Delay of a report on crashes or limits, in which further changes are collected, in milliseconds. */
export const URGENT_REPORT_DELAY_MS = 50
/** How long prompts and parts of prompts that crash targets are refused, in milliseconds. */
export const CRASH_RETENTION_MS = 600_000
/** Time that callers may cache an answer of the directory, in milliseconds; shutdown waits three times as long. */
export const DIRECTORY_MAX_AGE_MS = 1000
/** Callers keep using an answer of the directory for up to this many times its maximum age. */
export const DIRECTORY_STALENESS_FACTOR = 3
/** Maximum number of addresses in one answer of the directory. */
export const DIRECTORY_MAX_ADDRESSES = 64
/** Age of the record of a job up to which its items start, as a share of the bound on ended jobs. */
export const RECORD_AGE_SHARE = 0.6
/** Age of the record at which items without an answer are given up, as a share of the same bound. */
export const UNANSWERED_AGE_SHARE = 0.9
/** Longest age of the record of a job at which its owner says that there are no further results, in milliseconds. */
export const MAX_READ_AGE_MS = 800
/** Time for which reports repeat a change of a job, in milliseconds. */
export const JOB_NOTICE_MS = 5000
/** Part of the grace period reserved for closing connections before the platform kills the process, in milliseconds. */
export const SHUTDOWN_MARGIN_MS = 800
/** Timeout for storing pending results at shutdown, in milliseconds. */
export const SHUTDOWN_FLUSH_TIMEOUT_MS = 1000
/** Share of the memory of the process that all callers together may make it keep. */
export const CALLER_MEMORY_SHARE = 0.25
/** The same, at least, in bodies of the largest allowed size. */
export const MIN_CALLER_MEMORY_BODIES = 6
/** Timings of watching and polling the platform, in milliseconds. */
export const FEED_TIMINGS: FeedTimings = {
  // A watch with its margin is shorter than the tolerated outage of the platform.
  watchWaitMs: 2000,
  watchMarginMs: 700,
  pollWaitMs: 1000,
  pollMarginMs: 500,
  // Longer than a watch plus a poll, so that it is exceeded only if no peer can reach the platform.
  staleAfterMs: 4000,
  maxPauseMs: 500
}
