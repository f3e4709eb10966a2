/** The members that an instance knows: the platform's list, read by a few, and signs that are ahead of it. */
import { create } from '@bufbuild/protobuf'
import type { Clock } from '../clock'
import { SECOND_MS } from '../constants'
import { isHolder, type MemberExchange, type Peer } from '../feed'
import { hashHex } from '../hashing'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { instanceRecord, type InstanceRecord, type PlatformClient } from '../platform'
import type { Random } from '../random'
import { MemberAskSchema, MemberListSchema, MemberStateSchema, type MemberSign, type MemberState } from '../rpc'
import { decodeMembers, decodeSign, encodeMember, encodeSign } from './codec'
import { createSignTable, SIGN_TTL_MS, type Sign } from './signs'
import type { Instance, MembershipView, Target } from './types'

export interface MembershipTimings {
  /** How often an instance that holds the watches reads the list, in milliseconds. */
  readEveryMs: number
  /** An instance whose list is older than this reads it itself. */
  staleAfterMs: number
}

export const MEMBERSHIP_TIMINGS: MembershipTimings = {
  readEveryMs: 2 * SECOND_MS,
  staleAfterMs: 10 * SECOND_MS
}

export interface MembershipFollowerOptions {
  platform: PlatformClient
  instance: Peer
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
  /** Instances of each failure domain that read the list. */
  holdersPerDomain?: number
  timings?: Partial<MembershipTimings>
}

export interface MembershipFollower extends MembershipView, MemberExchange {
  /** Instances that may be polled for changes. */
  peers: () => readonly Peer[]
  /** Targets of every service that may get new work. */
  allTargets: () => readonly Target[]
  /** Tells peers that this instance is leaving, so that directories drop it at once. */
  announceLeaving: () => void
  /** Resolves when the list was asked for once, with or without an answer. */
  ready: () => Promise<void>
  /** Milliseconds since the platform answered with the list in use. */
  listAgeMs: () => number
  close: () => Promise<void>
}

const DEFAULT_HOLDERS_PER_DOMAIN = 2
const MAX_AGE_MS = 0x7fffffff
/** How often it is checked whether the list must be read. */
const CHECK_MS = 250
/** A list must be fresher by this much to be passed on. */
const FRESHER_MS = 500

/** Creates a follower and starts it. */
export function createMembershipFollower (options: MembershipFollowerOptions): MembershipFollower {
  const { platform, instance, clock, random, metrics, log } = options
  const timings = { ...MEMBERSHIP_TIMINGS, ...options.timings }
  const holdersPerDomain = options.holdersPerDomain ?? DEFAULT_HOLDERS_PER_DOMAIN
  const closing = new AbortController()
  const signs = createSignTable(clock)
  const changeListeners = new Set<() => void>()
  const ownSignListeners = new Set<(signs: readonly MemberSign[]) => unknown>()
  const newsListeners = new Set<() => void>()
  const incarnation = clock.wallTime()
  const bootId = `${instance.id}.${incarnation}.${Math.floor(random() * 1e9)}`

  let records: readonly InstanceRecord[] = []
  let byId = new Map<string, InstanceRecord>()
  let digest = ''
  let readAt = -MAX_AGE_MS
  let signsVersion = 0

  function listAgeMs (): number {
    return digest === '' ? MAX_AGE_MS : Math.min(MAX_AGE_MS, Math.max(0, Math.round(clock.now() - readAt)))
  }

  function notify (): void {
    for (const listener of changeListeners) listener()
    for (const listener of newsListeners) listener()
  }

  function adopt (next: readonly InstanceRecord[], observedAt: number): void {
    if (observedAt <= readAt) return
    readAt = observedAt
    signs.compare(next)
    const nextDigest = digestOf(next)
    if (nextDigest === digest) return
    records = next
    byId = new Map(next.map((record) => [record.id, record]))
    digest = nextDigest
    notify()
  }

  async function readList (): Promise<void> {
    const askedAt = clock.now()
    const list = await platform.listInstances()
    if (list.isOk()) {
      adopt(list.value, askedAt)
      return
    }
    metrics.count('membership.readErrors')
    log.debug({ err: list.error }, 'the instance list cannot be read')
  }

  function isLive (record: InstanceRecord): boolean {
    return record.state === 'live' && !signs.isLeaving(record)
  }

  function instances (role?: Instance['role']): Instance[] {
    return records.filter((record): record is Instance =>
      record.service === undefined && (role === undefined || record.role === role) && isLive(record))
  }

  function shouldRead (lastTryAt: number): boolean {
    const sinceTry = clock.now() - lastTryAt
    if (isHolder({ self: instance, peers: instances(), holdersPerDomain })) return sinceTry >= timings.readEveryMs
    return listAgeMs() >= timings.staleAfterMs && sinceTry >= timings.staleAfterMs * (0.5 + random())
  }

  async function readWhileNeeded (): Promise<void> {
    let lastTryAt = clock.now()
    while (!closing.signal.aborted) {
      await clock.sleep(CHECK_MS, closing.signal)
      if (closing.signal.aborted || !shouldRead(lastTryAt)) continue
      lastTryAt = clock.now()
      await readList()
    }
  }

  function addSigns (added: readonly Sign[]): Sign[] {
    const taken = added.filter((sign) => signs.add(sign))
    if (taken.length > 0) {
      signsVersion += 1
      notify()
    }
    return taken
  }

  function addOwnSign (sign: Omit<Sign, 'ttlMs'>): void {
    const taken = addSigns([{ ...sign, ttlMs: SIGN_TTL_MS }])
    if (taken.length === 0) return
    const messages = taken.map(encodeSign)
    for (const listener of ownSignListeners) listener(messages)
  }

  /** A process that runs again under the same id contradicts the sign that its predecessor left. */
  function contradict (received: readonly Sign[]): void {
    const isOutdated = received.some((sign) => sign.id === instance.id && sign.incarnation < incarnation)
    if (isOutdated) addOwnSign({ id: instance.id, leaving: false, incarnation, address: '' })
  }

  function mergeSigns (messages: readonly MemberSign[]): void {
    const received = messages.map(decodeSign)
    contradict(received)
    addSigns(received)
  }

  function merge (state: MemberState): void {
    const observedAt = clock.now() - state.listAgeMs
    if (state.list !== undefined) adopt(decodeMembers(state.list.members), observedAt)
    else if (state.listDigest !== '' && state.listDigest === digest) readAt = Math.max(readAt, observedAt)
    mergeSigns(state.signs)
  }

  const first = readList()
  const running = first.then(readWhileNeeded)

  return {
    instances,
    targets: (service) => records.filter((record): record is Target => record.service === service && isLive(record)),
    allTargets: () => records.filter((record): record is Target => record.service !== undefined && isLive(record)),
    target: (id) => {
      const record = byId.get(id)
      return record?.service === undefined ? undefined : record as Target
    },
    noteLeaving: (id, sign) => {
      metrics.count(`membership.signs.${sign}`)
      addOwnSign({ id, leaving: true, incarnation: 0, address: byId.get(id)?.address ?? '' })
    },
    onChange: (listener) => {
      changeListeners.add(listener)
      return () => { changeListeners.delete(listener) }
    },
    peers: () => instances().filter((peer) => peer.peerAddress !== undefined),
    announceLeaving: () => addOwnSign({ id: instance.id, leaving: true, incarnation, address: '' }),
    ready: async () => await first,
    listAgeMs,
    ask: (signsToken) => create(MemberAskSchema, { listDigest: digest, listAgeMs: listAgeMs(), signsToken }),
    answer: (ask) => {
      const signsToken = `${bootId}:${signsVersion}`
      const hasList = digest !== '' && ask?.listDigest !== digest && isFresher(listAgeMs(), ask?.listAgeMs)
      const hasSigns = ask?.signsToken !== signsToken
      const state = create(MemberStateSchema, {
        listDigest: digest,
        listAgeMs: listAgeMs(),
        list: hasList ? create(MemberListSchema, { members: records.map(encodeMember) }) : undefined,
        signsToken,
        signs: hasSigns ? signs.list().map(encodeSign) : []
      })
      return { state, isNews: hasList || hasSigns }
    },
    merge,
    mergeSigns,
    onNews: (listener) => {
      newsListeners.add(listener)
      return () => { newsListeners.delete(listener) }
    },
    onOwnSigns: (listener) => {
      ownSignListeners.add(listener)
      return () => { ownSignListeners.delete(listener) }
    },
    close: async () => {
      closing.abort()
      await running
    }
  }
}

function isFresher (ageMs: number, otherAgeMs: number | undefined): boolean {
  return otherAgeMs === undefined || otherAgeMs === MAX_AGE_MS || ageMs + FRESHER_MS < otherAgeMs
}

function digestOf (records: readonly InstanceRecord[]): string {
  const sorted = [...records].sort((a, b) => a.id < b.id ? -1 : 1)
  return hashHex(JSON.stringify(sorted, Object.keys(instanceRecord.shape)))
}
