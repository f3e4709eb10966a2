/** Follows one kind at the platform: a full read, then consecutive watches (long polls). */
import type { Clock } from '../clock'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import type { PlatformClient, StoredObject } from '../platform'
import type { Random } from '../random'
import type { FeedState } from './feedState'
import type { Freshness } from './freshness'
import { UNREAD_CURSOR } from './kindState'

export interface PlatformWatchOptions {
  platform: PlatformClient
  state: FeedState
  freshness: Freshness
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
  /** Wait requested for a watch, in milliseconds. */
  watchWaitMs: number
  /** Time allowed on top of the wait before a watch times out, in milliseconds; the client's default when absent. */
  watchMarginMs?: number
  /** Returns the maximum backoff after an error, in milliseconds; called before each pause. */
  getMaxBackoffMs: () => number
}

const INITIAL_BACKOFF_MS = 100
/** Longest wait of a watch after a failure, in milliseconds: a short one detects soon that the platform is back. */
const RECOVERY_WAIT_MS = 500
/** Added per peer to the maximum backoff of an instance that only substitutes for unavailable watchers. */
const BACKOFF_PER_PEER_MS = 20

export interface BackoffOptions {
  isWatcher: boolean
  /** Instances that may watch the platform at the same time. */
  peers: number
  /** Maximum backoff of a watcher, in milliseconds. */
  maxPauseMs: number
}

/**
 * Computes the maximum backoff between attempts to reach a platform that does not respond. Watchers retry soon, and
 * other instances learn of the recovery from them. The backoff of the others grows with the fleet, so that an outage
 * causes the same call rate in a fleet of any size.
 */
export function computeMaxBackoffMs ({ isWatcher: isRegularWatcher, peers, maxPauseMs }: BackoffOptions): number {
  return isRegularWatcher ? maxPauseMs : Math.max(maxPauseMs, peers * BACKOFF_PER_PEER_MS)
}

/** Reads all objects of a kind once. Returns false when the read failed or returned older state. */
export async function readKind (kind: string, options: PlatformWatchOptions): Promise<boolean> {
  const page = await options.platform.listAll(kind)
  if (page.isErr()) return false
  const { revision } = page.value
  const items = page.value.items.map((object) => dropDeepValue(object, options.log))
  const events = items.map((object) => ({ type: 'put' as const, name: object.name, revision: object.revision, object }))
  if (!options.state.merge(kind, { revision, full: true, events })) {
    options.metrics.count('feed.staleReads')
    return false
  }
  options.freshness.recordPlatformResponse()
  return true
}

/** Follows a kind until the signal aborts. */
export async function watchKind (kind: string, options: PlatformWatchOptions, signal: AbortSignal): Promise<void> {
  const { clock, random, metrics, log } = options
  let failures = 0
  while (!signal.aborted) {
    const hasBeenRead = options.state.kind(kind).getCursor() !== UNREAD_CURSOR
    const succeeded = hasBeenRead ? await watchOnce(kind, options, failures > 0, signal) : await readKind(kind, options)
    if (succeeded) {
      if (failures > 0) log.info({ kind, failures }, 'watch answers again')
      failures = 0
      continue
    }
    if (signal.aborted) return
    failures += 1
    metrics.count('feed.watchErrors')
    if (failures === 1) log.warn({ kind }, 'watch failed')
    const backoffMs = Math.min(options.getMaxBackoffMs(), INITIAL_BACKOFF_MS * 2 ** failures)
    await clock.sleep(backoffMs * (0.5 + random() / 2), signal)
  }
}

async function watchOnce (
  kind: string,
  options: PlatformWatchOptions,
  isRecovering: boolean,
  signal: AbortSignal
): Promise<boolean> {
  const { platform, state, freshness, metrics, watchWaitMs, watchMarginMs } = options
  const since = state.kind(kind).getCursor()
  const waitMs = isRecovering ? Math.min(watchWaitMs, RECOVERY_WAIT_MS) : watchWaitMs
  const batch = await platform.watch(kind, { since, waitMs, marginMs: watchMarginMs, signal })
  if (batch.isErr()) return false
  if (batch.value.compacted === true) return await readKind(kind, options)
  const { revision } = batch.value
  const events = batch.value.events.map((event) => (
    event.object === undefined ? event : { ...event, object: dropDeepValue(event.object, options.log) }
  ))
  if (revision < since) {
    metrics.count('feed.staleReads')
    return false
  }
  state.merge(kind, { revision, full: false, events })
  freshness.recordPlatformResponse()
  return true
}

/** Deeper values are left out: peers can't be sent them, as `JSON.stringify` runs out of stack. */
const MAX_VALUE_DEPTH = 100

/** Returns the object; without its value if another writer has nested it too deeply to pass it on. */
function dropDeepValue (object: StoredObject, log: Log): StoredObject {
  if (!isDeeperThan(MAX_VALUE_DEPTH, object.value)) return object
  const { kind, name, revision } = object
  log.warn({ kind, name, revision, maxDepth: MAX_VALUE_DEPTH }, 'object is nested too deeply; its value is left out')
  return { ...object, value: null }
}

function isDeeperThan (levels: number, value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false
  return levels === 0 || Object.values(value).some((child) => isDeeperThan(levels - 1, child))
}
