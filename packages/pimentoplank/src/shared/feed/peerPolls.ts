/** Polls a few peers for changes, one task for each, and moves on to the next peer when one goes quiet. */
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
import { NOTHING_KNOWN } from './kindState'
import type { MemberExchange } from './types'

/** Peers that are polled at a time. */
const POLLED_PEERS = 2
/** A peer that did not answer is passed over for this time. */
const QUIET_MS = 3 * SECOND_MS
/** Pause when there is nobody to poll. */
const NO_PEER_PAUSE_MS = 500
/** Least time between two polls of one peer, in milliseconds. */
const MIN_POLL_GAP_MS = 20
/** Limit for handing a sign on. */
const TELL_TIMEOUT_MS = SECOND_MS
const TELL_TRIES = 5
/** Limit for the polls at start. */
const FIRST_POLL_TIMEOUT_MS = SECOND_MS

export interface PeerPollsOptions {
  state: FeedState
  members: MemberExchange
  freshness: Freshness
  transports: PeerTransports
  /** Addresses of peers to poll, best first. */
  addresses: () => string[]
  instance: string
  clock: Clock
  random: Random
  metrics: Metrics
  pollWaitMs: number
  /** How much longer than its wait a poll may take, in milliseconds. */
  pollMarginMs: number
}

export interface PeerPolls {
  /** Asks the best peers for all they know; resolves when each has answered or failed. */
  pollOnce: () => Promise<void>
  /** Polls until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  /** Hands signs to the peers that are polled now. */
  tell: (signs: readonly MemberSign[]) => Promise<void>
  /** Milliseconds since any peer answered a poll. */
  sinceAnswerMs: () => number
}

/** Creates the polls of an instance. */
export function createPeerPolls (options: PeerPollsOptions): PeerPolls {
  const { state, members, freshness, clock, random, metrics } = options
  const clients = new Map<string, Client<typeof FeedService>>()
  const tokens = new Map<string, string>()
  const quietUntil = new Map<string, number>()
  const inUse = new Set<string>()
  let lastAnswerAt = clock.now()

  function clientOf (address: string): Client<typeof FeedService> {
    let client = clients.get(address)
    if (client === undefined) {
      client = createClient(FeedService, options.transports.to(address))
      clients.set(address, client)
    }
    return client
  }

  /** The best peer that is not quiet, else the one that has been quiet for longest. */
  function choose (): { address?: string, isQuiet: boolean } {
    const now = clock.now()
    const free = options.addresses().filter((address) => !inUse.has(address))
    const awake = free.find((address) => (quietUntil.get(address) ?? 0) <= now)
    if (awake !== undefined) return { address: awake, isQuiet: false }
    const [address] = free.sort((a, b) => quietUntil.get(a)! - quietUntil.get(b)!)
    return { address, isQuiet: true }
  }

  async function poll (address: string, waitMs: number, timeoutMs: number, signal?: AbortSignal): Promise<boolean> {
    const cursors = state.kinds
      .map((kind) => ({ kind, revision: state.kind(kind).cursor() }))
      .filter(({ revision }) => revision !== NOTHING_KNOWN)
      .map(({ kind, revision }) => ({ kind, revision: BigInt(revision) }))
    const req = create(PollRequestSchema, {
      instance: options.instance, cursors, waitMs, members: members.ask(tokens.get(address) ?? '')
    })
    metrics.count('feed.polls')
    try {
      const limit = AbortSignal.timeout(timeoutMs)
      take(address, await clientOf(address).poll(req, {
        signal: signal === undefined ? limit : AbortSignal.any([limit, signal])
      }))
      return true
    } catch {
      if (signal?.aborted !== true) noteQuiet(address)
      return false
    }
  }

  function noteQuiet (address: string): void {
    metrics.retried('peerUnavailable')
    quietUntil.set(address, clock.now() + QUIET_MS * (0.5 + random()))
    tokens.delete(address)
    clients.delete(address)
    options.transports.drop(address)
  }

  function take (address: string, res: PollResponse): void {
    lastAnswerAt = clock.now()
    for (const update of res.updates) {
      const isTaken = state.kinds.includes(update.kind) && state.merge(update.kind, decodeChanges(update))
      if (!isTaken) metrics.count('feed.stalePeers')
    }
    if (res.members !== undefined) {
      members.merge(res.members)
      tokens.set(address, res.members.signsToken)
    }
    freshness.notePeer(res.platformAgeMs)
  }

  async function pollForever (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { address, isQuiet } = choose()
      if (isQuiet) await clock.sleep(NO_PEER_PAUSE_MS, signal)
      if (address === undefined || inUse.has(address)) continue
      inUse.add(address)
      const isAnswered = await poll(address, options.pollWaitMs, options.pollWaitMs + options.pollMarginMs, signal)
      inUse.delete(address)
      if (isAnswered) await clock.sleep(MIN_POLL_GAP_MS, signal)
    }
  }

  /** Hands signs to the peers that are polled now; true when one of them took them. */
  async function tellOnce (signs: readonly MemberSign[]): Promise<boolean> {
    const polled = inUse.size > 0 ? [...inUse] : options.addresses().slice(0, POLLED_PEERS)
    const told = polled.map(async (address) => {
      await clientOf(address).tell({ signs: [...signs] }, { timeoutMs: TELL_TIMEOUT_MS })
    })
    const results = await Promise.allSettled(told)
    return results.some((result) => result.status === 'fulfilled')
  }

  return {
    pollOnce: async () => {
      const addresses = options.addresses().slice(0, POLLED_PEERS)
      await Promise.all(addresses.map(async (address) => await poll(address, 0, FIRST_POLL_TIMEOUT_MS)))
    },
    run: async (signal) => {
      await Promise.all(Array.from({ length: POLLED_PEERS }, async () => await pollForever(signal)))
    },
    tell: async (signs) => {
      for (let attempt = 1; attempt <= TELL_TRIES; attempt++) {
        if (await tellOnce(signs)) return
        metrics.retried('peerUnavailable')
        await clock.sleep(NO_PEER_PAUSE_MS)
      }
    },
    sinceAnswerMs: () => clock.now() - lastAnswerAt
  }
}
