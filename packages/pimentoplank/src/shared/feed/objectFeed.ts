/** The feed of an instance: watches the platform itself, or polls the peers that do. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Clock } from '../clock'
import { SECOND_MS } from '../constants'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import type { PlatformClient } from '../platform'
import type { Random } from '../random'
import type { PeerTransports } from '../rpc'
import { createFeedRoutes } from './feedRoutes'
import { createFeedState } from './feedState'
import { createFreshness } from './freshness'
import { createNotifier } from './notifier'
import { createPeerPolls } from './peerPolls'
import { longestPauseMs, readKind, watchKind, type PlatformWatchOptions } from './platformWatch'
import type { MemberExchange, ObjectFeed } from './types'
import { isHolder, rankUpstreams, type Peer } from './upstreams'

export interface FeedTimings {
  /** How long the platform may hold a watch, in milliseconds. */
  watchWaitMs: number
  /** How much longer than its wait a watch may take, in milliseconds. */
  watchMarginMs: number
  /** How long a peer may hold a poll, in milliseconds. */
  pollWaitMs: number
  /** How much longer than its wait a poll may take, in milliseconds. */
  pollMarginMs: number
  /** Without word of the platform for this long, an instance watches it itself. */
  staleAfterMs: number
  /** Longest pause of a holder after an error of the platform, in milliseconds. */
  maxPauseMs: number
}

export const FEED_TIMINGS: FeedTimings = {
  watchWaitMs: 10 * SECOND_MS,
  watchMarginMs: 2 * SECOND_MS,
  pollWaitMs: 4 * SECOND_MS,
  pollMarginMs: SECOND_MS,
  staleAfterMs: 15 * SECOND_MS,
  maxPauseMs: 2 * SECOND_MS
}

export interface ObjectFeedOptions {
  platform: PlatformClient
  /** Instances that are there, and what is passed on about them. */
  members: MemberExchange & { peers: () => readonly Peer[], ready: () => Promise<void> }
  transports: PeerTransports
  instance: Peer
  kinds: readonly string[]
  /** Addresses of peers to ask while no instance list is known. */
  seeds?: readonly string[]
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
  /** Instances of each failure domain that watch the platform. */
  holdersPerDomain?: number
  timings?: Partial<FeedTimings>
  /** True where reads of the platform are never stale, so that an instance that starts needn't ask its peers first. */
  isPlatformCurrent?: boolean
}

/** A feed that also serves its peers. */
export interface PeeredFeed extends ObjectFeed {
  routes: (router: ConnectRouter) => void
  /** Milliseconds since the platform was last heard, directly or through a peer. */
  ageMs: () => number
}

const DEFAULT_HOLDERS_PER_DOMAIN = 2
/** How often an instance checks whether it should watch the platform. */
const ROLE_CHECK_MS = 250

/** Creates a feed and starts it. */
export function createObjectFeed (options: ObjectFeedOptions): PeeredFeed {
  const { members, clock, random, metrics, log } = options
  const holdersPerDomain = options.holdersPerDomain ?? DEFAULT_HOLDERS_PER_DOMAIN
  const timings = { ...FEED_TIMINGS, ...options.timings }
  const closing = new AbortController()
  const state = createFeedState(options.kinds)
  const freshness = createFreshness(clock)
  const changed = createNotifier()
  const watch: PlatformWatchOptions = {
    ...options,
    ...timings,
    state,
    freshness,
    longestPauseMs: () => longestPauseMs({
      isHolder: isHolder(placement()), peers: members.peers().length, maxPauseMs: timings.maxPauseMs
    })
  }
  /** Healthy peers answer a poll within its wait. */
  const silentAfterMs = timings.pollWaitMs + timings.pollMarginMs / 2
  const staleAfterMs = timings.staleAfterMs * (1 + random() / 2)

  function placement (): Parameters<typeof rankUpstreams>[0] {
    return { self: options.instance, peers: members.peers(), holdersPerDomain }
  }

  function addresses (): string[] {
    const ranked = rankUpstreams(placement()).map((peer) => peer.peerAddress!)
    const seeds = (options.seeds ?? []).filter((seed) => seed !== options.instance.peerAddress)
    return [...new Set([...ranked, ...seeds])]
  }

  const polls = createPeerPolls({ ...options, ...timings, state, freshness, addresses, instance: options.instance.id })

  function shouldWatch (): boolean {
    return isHolder(placement()) || freshness.peerAgeMs() > staleAfterMs || polls.sinceAnswerMs() > silentAfterMs
  }

  async function watchWhileNeeded (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (shouldWatch()) await watchUntilNotNeeded(signal)
      await clock.sleep(ROLE_CHECK_MS, signal)
    }
  }

  async function watchUntilNotNeeded (signal: AbortSignal): Promise<void> {
    const done = new AbortController()
    const both = AbortSignal.any([signal, done.signal])
    if (!isHolder(placement())) metrics.count('feed.fallbacks')
    const watches = options.kinds.map(async (kind) => await watchKind(kind, watch, both))
    while (!signal.aborted && shouldWatch()) await clock.sleep(ROLE_CHECK_MS, signal)
    done.abort()
    await Promise.all(watches)
  }

  async function readAll (): Promise<void> {
    await Promise.all(options.kinds.map(async (kind) => await readKind(kind, watch)))
  }

  /** Asks peers first: they know revisions that a stale answer of the platform would hide. */
  async function start (): Promise<void> {
    if (options.isPlatformCurrent === true) {
      const reading = readAll()
      running.push(reading, polls.run(closing.signal), watchWhileNeeded(closing.signal))
      while (!state.isComplete() && !closing.signal.aborted) await state.changed.next(closing.signal)
      return
    }
    if (addresses().length > 0) await polls.pollOnce()
    if (!state.isComplete()) {
      await members.ready()
      await polls.pollOnce()
    }
    if (!state.isComplete() || freshness.peerAgeMs() > timings.staleAfterMs) await readAll()
    running.push(polls.run(closing.signal), watchWhileNeeded(closing.signal))
    while (!state.isComplete() && !closing.signal.aborted) await state.changed.next(closing.signal)
  }

  const running: Array<Promise<void>> = []
  const stopNotes = [
    members.onNews(changed.notify),
    members.onOwnSigns(polls.tell),
    ...options.kinds.map((kind) => state.subscribe(kind, () => queueMicrotask(changed.notify)))
  ]
  const started = start()
  started.then(() => log.debug('feed is ready'))

  return {
    objects: (kind) => state.kind(kind).objects,
    revision: (kind) => state.kind(kind).cursor(),
    subscribe: state.subscribe,
    offer: state.offer,
    ready: async () => await started,
    routes: createFeedRoutes({ state, members, changed, freshness, clock, closed: closing.signal }),
    ageMs: freshness.ageMs,
    close: async () => {
      closing.abort()
      stopNotes.forEach((stop) => stop())
      await started
      await Promise.all(running)
    }
  }
}
