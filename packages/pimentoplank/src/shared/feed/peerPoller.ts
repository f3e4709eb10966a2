/** Long-polls a few peers for changes, in one task each; fails over to the next peer when one does not respond. */
import { create } from '@bufbuild/protobuf'
import { createClient, type Client } from '@connectrpc/connect'
import type { Clock } from '../clock'
import { SECOND_MS } from '../constants'
import type { Metrics } from '../metrics'
import type { Random } from '../random'
import { FeedService, PollRequestSchema, type MemberSign, type PeerTransports, type PollResponse } from '../rpc'
import { decodeChanges } from './codec'
import type { FeedState } from './feedState'
import type { Freshness } from './freshness'
import { UNREAD_CURSOR } from './kindState'
import type { MemberExchange } from './types'

/** Peers polled concurrently. */
const POLLED_PEERS = 2
/** Mean time for which a peer that did not respond is skipped; randomized by 50 % either way. */
const UNAVAILABLE_MS = 3 * SECOND_MS
/** Pause while no peer is available, and between attempts to push notices. */
const RETRY_PAUSE_MS = 500
/** Minimum interval between two polls of one peer, in milliseconds. */
const MIN_POLL_INTERVAL_MS = 20
/** Timeout of one attempt to push notices to a peer. */
const PUSH_TIMEOUT_MS = SECOND_MS
const PUSH_ATTEMPTS = 5
/** Timeout of the initial polls. */
const FIRST_POLL_TIMEOUT_MS = SECOND_MS

export interface PeerPollerOptions {
  state: FeedState
  members: MemberExchange
  freshness: Freshness
  transports: PeerTransports
  /** Addresses of peers to poll, best first. */
  getAddresses: () => string[]
  instance: string
  clock: Clock
  random: Random
  metrics: Metrics
  pollWaitMs: number
  /** Time allowed on top of its wait before a poll times out, in milliseconds. */
  pollMarginMs: number
}

export interface PeerPoller {
  /** Polls the best peers once without waiting for changes; resolves when each has responded or failed. */
  pollOnce: () => Promise<void>
  /** Polls until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  /** Pushes notices to the peers being polled; retries until one accepts them or all attempts failed. */
  pushNotices: (signs: readonly MemberSign[]) => Promise<void>
  /** Milliseconds since any peer last responded to a poll. */
  getMsSinceResponse: () => number
}

/** Creates the poller of an instance. */
export function createPeerPoller (options: PeerPollerOptions): PeerPoller {
  const { state, members, freshness, clock, random, metrics } = options
  const clients = new Map<string, Client<typeof FeedService>>()
  const tokens = new Map<string, string>()
  const unavailableUntil = new Map<string, number>()
  const inUse = new Set<string>()
  let lastResponseAt = clock.now()

  function getClient (address: string): Client<typeof FeedService> {
    let client = clients.get(address)
    if (client === undefined) {
      client = createClient(FeedService, options.transports.get(address))
      clients.set(address, client)
    }
    return client
  }

  /** Chooses the best available peer, else the unavailable one that is due for a retry first. */
  function choosePeer (): { address?: string, isUnavailable: boolean } {
    const now = clock.now()
    const unpolled = options.getAddresses().filter((address) => !inUse.has(address))
    const available = unpolled.find((address) => (unavailableUntil.get(address) ?? 0) <= now)
    if (available !== undefined) return { address: available, isUnavailable: false }
    const [address] = unpolled.sort((a, b) => unavailableUntil.get(a)! - unavailableUntil.get(b)!)
    return { address, isUnavailable: true }
  }

  async function poll (address: string, waitMs: number, timeoutMs: number, signal?: AbortSignal): Promise<boolean> {
    const cursors = state.kinds
      .map((kind) => ({ kind, revision: state.kind(kind).getCursor() }))
      .filter(({ revision }) => revision !== UNREAD_CURSOR)
      .map(({ kind, revision }) => ({ kind, revision: BigInt(revision) }))
    const req = create(PollRequestSchema, {
      instance: options.instance, cursors, waitMs, members: members.buildQuery(tokens.get(address) ?? '')
    })
    metrics.count('feed.polls')
    try {
      const limit = AbortSignal.timeout(timeoutMs)
      handleResponse(address, await getClient(address).poll(req, {
        signal: signal === undefined ? limit : AbortSignal.any([limit, signal])
      }))
      return true
    } catch {
      if (signal?.aborted !== true) markUnavailable(address)
      return false
    }
  }

  function markUnavailable (address: string): void {
    metrics.countRetry('peerUnavailable')
    unavailableUntil.set(address, clock.now() + UNAVAILABLE_MS * (0.5 + random()))
    tokens.delete(address)
    clients.delete(address)
    options.transports.disconnect(address)
  }

  function handleResponse (address: string, res: PollResponse): void {
    lastResponseAt = clock.now()
    for (const update of res.updates) {
      const isAccepted = state.kinds.includes(update.kind) && state.merge(update.kind, decodeChanges(update))
      if (!isAccepted) metrics.count('feed.stalePeers')
    }
    if (res.members !== undefined) {
      members.merge(res.members)
      tokens.set(address, res.members.signsToken)
    }
    freshness.recordPeerReport(res.platformAgeMs)
  }

  async function pollForever (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { address, isUnavailable } = choosePeer()
      if (isUnavailable) await clock.sleep(RETRY_PAUSE_MS, signal)
      if (address === undefined || inUse.has(address)) continue
      inUse.add(address)
      const hasResponded = await poll(address, options.pollWaitMs, options.pollWaitMs + options.pollMarginMs, signal)
      inUse.delete(address)
      if (hasResponded) await clock.sleep(MIN_POLL_INTERVAL_MS, signal)
    }
  }

  /** Pushes notices to the peers being polled; true when at least one accepted them. */
  async function pushOnce (notices: readonly MemberSign[]): Promise<boolean> {
    const polled = inUse.size > 0 ? [...inUse] : options.getAddresses().slice(0, POLLED_PEERS)
    const pushes = polled.map(async (address) => {
      await getClient(address).tell({ signs: [...notices] }, { timeoutMs: PUSH_TIMEOUT_MS })
    })
    const results = await Promise.allSettled(pushes)
    return results.some((result) => result.status === 'fulfilled')
  }

  return {
    pollOnce: async () => {
      const addresses = options.getAddresses().slice(0, POLLED_PEERS)
      await Promise.all(addresses.map(async (address) => await poll(address, 0, FIRST_POLL_TIMEOUT_MS)))
    },
    run: async (signal) => {
      await Promise.all(Array.from({ length: POLLED_PEERS }, async () => await pollForever(signal)))
    },
    pushNotices: async (signs) => {
      for (let attempt = 1; attempt <= PUSH_ATTEMPTS; attempt++) {
        if (await pushOnce(signs)) return
        metrics.countRetry('peerUnavailable')
        await clock.sleep(RETRY_PAUSE_MS)
      }
    },
    getMsSinceResponse: () => clock.now() - lastResponseAt
  }
}
