/** Change feed of an instance: watches the platform, or polls the peers that watch it. */
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
import { createPeerPoller } from './peerPoller'
import { computeMaxBackoffMs, readKind, watchKind, type PlatformWatchOptions } from './platformWatch'
import type { MemberExchange, ObjectFeed } from './types'
import { isWatcher, rankUpstreams, type Peer } from './upstreams'

export interface FeedTimings {
  /** Wait requested for a watch (a long poll of the platform), in milliseconds. */
  watchWaitMs: number
  /** Time allowed on top of its wait before a watch times out, in milliseconds. */
  watchMarginMs: number
  /** Wait requested for a long poll of a peer, in milliseconds. */
  pollWaitMs: number
  /** Time allowed on top of its wait before a poll times out, in milliseconds. */
  pollMarginMs: number
  /** An instance watches the platform itself when peers report no response of it for this long, in milliseconds. */
  staleAfterMs: number
  /** Maximum backoff of a watcher after a platform error, in milliseconds. */
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
  /** Known instances, and the exchange of membership state with them. */
  members: MemberExchange & { peers: () => readonly Peer[], ready: () => Promise<void> }
  transports: PeerTransports
  instance: Peer
  kinds: readonly string[]
  /** Addresses of peers to poll while no instance list is known. */
  seeds?: readonly string[]
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
  /** Number of instances per failure domain that watch the platform. */
  watchersPerDomain?: number
  timings?: Partial<FeedTimings>
  /** True where platform reads are never stale, so that a starting instance need not poll its peers first. */
  isPlatformCurrent?: boolean
}

/** An object feed that also serves its peers. */
export interface PeeredFeed extends ObjectFeed {
  /** Registers the feed service on a router. */
  routes: (router: ConnectRouter) => void
  /** Milliseconds since the last known platform response, direct or reported by a peer. */
  ageMs: () => number
}

const DEFAULT_WATCHERS_PER_DOMAIN = 2
/** Interval of the check whether this instance should watch the platform. */
const ROLE_CHECK_MS = 250

/** Creates a feed and starts it. */
export function createObjectFeed (options: ObjectFeedOptions): PeeredFeed {
  const { members, clock, random, metrics, log } = options
  const watcherCount = options.watchersPerDomain ?? DEFAULT_WATCHERS_PER_DOMAIN
  const timings = { ...FEED_TIMINGS, ...options.timings }
  const closing = new AbortController()
  const state = createFeedState(options.kinds)
  const freshness = createFreshness(clock)
  const changed = createNotifier()
  const watchOptions: PlatformWatchOptions = {
    ...options,
    ...timings,
    state,
    freshness,
    getMaxBackoffMs: () => computeMaxBackoffMs({
      isWatcher: isWatcher(getUpstreamOptions()), peers: members.peers().length, maxPauseMs: timings.maxPauseMs
    })
  }
  // A healthy peer responds to a poll within its wait.
  const silentAfterMs = timings.pollWaitMs + timings.pollMarginMs / 2
  const staleAfterMs = timings.staleAfterMs * (1 + random() / 2)

  function getUpstreamOptions (): Parameters<typeof rankUpstreams>[0] {
    return { self: options.instance, peers: members.peers(), watchersPerDomain: watcherCount }
  }

  function listAddresses (): string[] {
    const ranked = rankUpstreams(getUpstreamOptions()).map((peer) => peer.peerAddress!)
    const seeds = (options.seeds ?? []).filter((seed) => seed !== options.instance.peerAddress)
    return [...new Set([...ranked, ...seeds])]
  }

  const poller = createPeerPoller({
    ...options, ...timings, state, freshness, getAddresses: listAddresses, instance: options.instance.id
  })

  function shouldWatch (): boolean {
    return isWatcher(getUpstreamOptions()) ||
      freshness.peerAgeMs() > staleAfterMs || poller.getMsSinceResponse() > silentAfterMs
  }

  async function watchWhileNeeded (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (shouldWatch()) await watchUntilNotNeeded(signal)
      await clock.sleep(ROLE_CHECK_MS, signal)
    }
  }

  async function watchUntilNotNeeded (signal: AbortSignal): Promise<void> {
    const done = new AbortController()
    const eitherSignal = AbortSignal.any([signal, done.signal])
    if (!isWatcher(getUpstreamOptions())) metrics.count('feed.fallbacks')
    const watches = options.kinds.map(async (kind) => await watchKind(kind, watchOptions, eitherSignal))
    while (!signal.aborted && shouldWatch()) await clock.sleep(ROLE_CHECK_MS, signal)
    done.abort()
    await Promise.all(watches)
  }

  async function readAll (): Promise<void> {
    await Promise.all(options.kinds.map(async (kind) => await readKind(kind, watchOptions)))
  }

  /** Polls peers first: they know revisions that a stale platform read would miss. */
  async function start (): Promise<void> {
    if (options.isPlatformCurrent === true) {
      const reading = readAll()
      running.push(reading, poller.run(closing.signal), watchWhileNeeded(closing.signal))
      while (!state.isComplete() && !closing.signal.aborted) await state.changed.next(closing.signal)
      return
    }
    if (listAddresses().length > 0) await poller.pollOnce()
    if (!state.isComplete()) {
      await members.ready()
      await poller.pollOnce()
    }
    if (!state.isComplete() || freshness.peerAgeMs() > timings.staleAfterMs) await readAll()
    running.push(poller.run(closing.signal), watchWhileNeeded(closing.signal))
    while (!state.isComplete() && !closing.signal.aborted) await state.changed.next(closing.signal)
  }

  const running: Array<Promise<void>> = []
  const unsubscribers = [
    members.onUpdate(changed.notify),
    members.onOwnNotices(poller.pushNotices),
    ...options.kinds.map((kind) => state.subscribe(kind, () => queueMicrotask(changed.notify)))
  ]
  const started = start()
  started.then(() => log.debug('object feed is ready: every followed kind was read'))

  return {
    objects: (kind) => state.kind(kind).objects,
    revision: (kind) => state.kind(kind).getCursor(),
    subscribe: state.subscribe,
    offer: state.offer,
    ready: async () => await started,
    routes: createFeedRoutes({ state, members, changed, freshness, clock, closed: closing.signal }),
    ageMs: freshness.ageMs,
    close: async () => {
      closing.abort()
      unsubscribers.forEach((stop) => stop())
      await started
      await Promise.all(running)
    }
  }
}
