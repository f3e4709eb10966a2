/** Follows one kind at the platform itself: a full read first, then one watch after the other. */
import type { Clock } from '../clock'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import type { PlatformClient } from '../platform'
import type { Random } from '../random'
import type { FeedState } from './feedState'
import type { Freshness } from './freshness'
import { NOTHING_KNOWN } from './kindState'

export interface PlatformWatchOptions {
  platform: PlatformClient
  state: FeedState
  freshness: Freshness
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
  /** How long the platform may hold a watch, in milliseconds. */
  watchWaitMs: number
  /** How much longer its answer may take, in milliseconds; that of the client when absent. */
  watchMarginMs?: number
  /** Longest pause after an error, in milliseconds; asked for each pause. */
  longestPauseMs: () => number
}

const FIRST_PAUSE_MS = 100
/** Longest wait of a watch after a failed one, in milliseconds: a platform that is back is noticed soon. */
const RECOVERY_WAIT_MS = 500
/** What each peer adds to the longest pause of an instance that only stands in for silent holders. */
const PAUSE_PER_PEER_MS = 20

export interface PauseOptions {
  isHolder: boolean
  /** Instances that may watch the platform at the same time. */
  peers: number
  /** Longest pause of a holder, in milliseconds. */
  maxPauseMs: number
}

/**
 * The longest pause between two tries at a platform that does not answer. Holders come back soon and tell the others;
 * these pause longer in a larger fleet, so that an outage costs the platform the same calls at any size.
 */
export function longestPauseMs ({ isHolder, peers, maxPauseMs }: PauseOptions): number {
  return isHolder ? maxPauseMs : Math.max(maxPauseMs, peers * PAUSE_PER_PEER_MS)
}

/** Reads all objects of a kind once. Returns false when the platform did not answer, or with older state. */
export async function readKind (kind: string, options: PlatformWatchOptions): Promise<boolean> {
  const page = await options.platform.listAll(kind)
  if (page.isErr()) return false
  const { revision, items } = page.value
  const events = items.map((object) => ({ type: 'put' as const, name: object.name, revision: object.revision, object }))
  if (!options.state.merge(kind, { revision, full: true, events })) {
    options.metrics.count('feed.staleReads')
    return false
  }
  options.freshness.notePlatform()
  return true
}

/** Follows a kind until the signal aborts. */
export async function watchKind (kind: string, options: PlatformWatchOptions, signal: AbortSignal): Promise<void> {
  const { clock, random, metrics, log } = options
  let failures = 0
  while (!signal.aborted) {
    const isKnown = options.state.kind(kind).cursor() !== NOTHING_KNOWN
    const done = isKnown ? await watchOnce(kind, options, failures > 0, signal) : await readKind(kind, options)
    if (done) {
      if (failures > 0) log.info({ kind, failures }, 'watch answers again')
      failures = 0
      continue
    }
    if (signal.aborted) return
    failures += 1
    metrics.count('feed.watchErrors')
    if (failures === 1) log.warn({ kind }, 'watch failed')
    const pauseMs = Math.min(options.longestPauseMs(), FIRST_PAUSE_MS * 2 ** failures)
    await clock.sleep(pauseMs * (0.5 + random() / 2), signal)
  }
}

async function watchOnce (
  kind: string,
  options: PlatformWatchOptions,
  isRecovering: boolean,
  signal: AbortSignal
): Promise<boolean> {
  const { platform, state, freshness, metrics, watchWaitMs, watchMarginMs } = options
  const since = state.kind(kind).cursor()
  const waitMs = isRecovering ? Math.min(watchWaitMs, RECOVERY_WAIT_MS) : watchWaitMs
  const batch = await platform.watch(kind, { since, waitMs, marginMs: watchMarginMs, signal })
  if (batch.isErr()) return false
  if (batch.value.compacted === true) return await readKind(kind, options)
  const { revision, events } = batch.value
  if (revision < since) {
    metrics.count('feed.staleReads')
    return false
  }
  state.merge(kind, { revision, full: false, events })
  freshness.notePlatform()
  return true
}
