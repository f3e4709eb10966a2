/** Membership as known to an instance: the platform's list, which few instances read, and notices that precede it. */
import { create } from '@bufbuild/protobuf'
import type { Clock } from '../clock'
import { SECOND_MS } from '../constants'
import { isWatcher, type MemberExchange, type Peer } from '../feed'
import { hashHex } from '../hashing'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { instanceRecord, type InstanceRecord, type PlatformClient } from '../platform'
import type { Random } from '../random'
import { MemberAskSchema, MemberListSchema, MemberStateSchema, type MemberSign, type MemberState } from '../rpc'
import { decodeMembers, decodeNotice, encodeMember, encodeNotice } from './codec'
import { createNoticeTable, NOTICE_TTL_MS, type MemberNotice } from './memberNotices'
import type { Instance, MembershipView, Target } from './types'

export interface MembershipTimings {
  /** Interval at which a watcher reads the list, in milliseconds. */
  readEveryMs: number
  /** Age of the list at which any instance reads it from the platform, in milliseconds. */
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
  /** Number of instances per failure domain that read the list. */
  watchersPerDomain?: number
  timings?: Partial<MembershipTimings>
}

export interface MembershipFollower extends MembershipView, MemberExchange {
  /** Returns the instances that may be polled for changes. */
  peers: () => readonly Peer[]
  /** Returns the targets of all services that may receive new work. */
  allTargets: () => readonly Target[]
  /** Notifies peers that this instance is leaving, so that they remove it from their directories at once. */
  announceLeaving: () => void
  /** Resolves when the first read of the list ended, successfully or not. */
  ready: () => Promise<void>
  /** Milliseconds since the list in use was read from the platform. */
  listAgeMs: () => number
  close: () => Promise<void>
}

const DEFAULT_WATCHERS_PER_DOMAIN = 2
const MAX_AGE_MS = 0x7fffffff
/** Interval of the check whether the list must be read. */
const CHECK_INTERVAL_MS = 250
/** A list is sent to a peer only when it is newer by more than this. */
const MIN_AGE_GAIN_MS = 500

/** Creates a follower and starts it. */
export function createMembershipFollower (options: MembershipFollowerOptions): MembershipFollower {
  const { platform, instance, clock, random, metrics, log } = options
  const timings = { ...MEMBERSHIP_TIMINGS, ...options.timings }
  const watcherCount = options.watchersPerDomain ?? DEFAULT_WATCHERS_PER_DOMAIN
  const closing = new AbortController()
  const noticeTable = createNoticeTable(clock)
  const changeListeners = new Set<() => void>()
  const ownNoticeListeners = new Set<(notices: readonly MemberSign[]) => unknown>()
  const updateListeners = new Set<() => void>()
  const incarnation = clock.wallTime()
  const bootId = `${instance.id}.${incarnation}.${Math.floor(random() * 1e9)}`

  let records: readonly InstanceRecord[] = []
  let byId = new Map<string, InstanceRecord>()
  let digest = ''
  let readAt = -MAX_AGE_MS
  let noticesVersion = 0

  function listAgeMs (): number {
    return digest === '' ? MAX_AGE_MS : Math.min(MAX_AGE_MS, Math.max(0, Math.round(clock.now() - readAt)))
  }

  function notify (): void {
    for (const listener of changeListeners) listener()
    for (const listener of updateListeners) listener()
  }

  function applyList (next: readonly InstanceRecord[], observedAt: number): void {
    if (observedAt <= readAt) return
    readAt = observedAt
    noticeTable.reconcile(next)
    const nextDigest = computeDigest(next)
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
      applyList(list.value, askedAt)
      return
    }
    metrics.count('membership.readErrors')
    log.debug({ err: list.error }, 'instance list could not be read from the platform')
  }

  function isLive (record: InstanceRecord): boolean {
    return record.state === 'live' && !noticeTable.isLeaving(record)
  }

  function instances (role?: Instance['role']): Instance[] {
    return records.filter((record): record is Instance =>
      record.service === undefined && (role === undefined || record.role === role) && isLive(record))
  }

  function shouldRead (lastTryAt: number): boolean {
    const sinceTry = clock.now() - lastTryAt
    if (isWatcher({
      self: instance, peers: instances(), watchersPerDomain: watcherCount
    })) return sinceTry >= timings.readEveryMs
    return listAgeMs() >= timings.staleAfterMs && sinceTry >= timings.staleAfterMs * (0.5 + random())
  }

  async function readWhileNeeded (): Promise<void> {
    let lastTryAt = clock.now()
    while (!closing.signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, closing.signal)
      if (closing.signal.aborted || !shouldRead(lastTryAt)) continue
      lastTryAt = clock.now()
      await readList()
    }
  }

  function addNotices (candidates: readonly MemberNotice[]): MemberNotice[] {
    const accepted = candidates.filter((notice) => noticeTable.add(notice))
    if (accepted.length > 0) {
      noticesVersion += 1
      notify()
    }
    return accepted
  }

  function addOwnNotice (notice: Omit<MemberNotice, 'ttlMs'>): void {
    const accepted = addNotices([{ ...notice, ttlMs: NOTICE_TTL_MS }])
    if (accepted.length === 0) return
    const messages = accepted.map(encodeNotice)
    for (const listener of ownNoticeListeners) listener(messages)
  }

  /** Refutes leaving notices of a previous process under the same instance id. */
  function refuteOutdated (received: readonly MemberNotice[]): void {
    const isOutdated = received.some((notice) => notice.id === instance.id && notice.incarnation < incarnation)
    if (isOutdated) addOwnNotice({ id: instance.id, leaving: false, incarnation, address: '' })
  }

  function mergeReceived (messages: readonly MemberSign[]): void {
    const received = messages.map(decodeNotice)
    refuteOutdated(received)
    addNotices(received)
  }

  function merge (state: MemberState): void {
    const observedAt = clock.now() - state.listAgeMs
    if (state.list !== undefined) applyList(decodeMembers(state.list.members), observedAt)
    else if (state.listDigest !== '' && state.listDigest === digest) readAt = Math.max(readAt, observedAt)
    mergeReceived(state.signs)
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
    markLeaving: (id, reason) => {
      metrics.count(`membership.signs.${reason}`)
      addOwnNotice({ id, leaving: true, incarnation: 0, address: byId.get(id)?.address ?? '' })
    },
    onChange: (listener) => {
      changeListeners.add(listener)
      return () => { changeListeners.delete(listener) }
    },
    peers: () => instances().filter((peer) => peer.peerAddress !== undefined),
    announceLeaving: () => addOwnNotice({ id: instance.id, leaving: true, incarnation, address: '' }),
    ready: async () => await first,
    listAgeMs,
    buildQuery: (signsToken) => create(MemberAskSchema, { listDigest: digest, listAgeMs: listAgeMs(), signsToken }),
    buildResponse: (ask) => {
      const signsToken = `${bootId}:${noticesVersion}`
      const hasList = digest !== '' && ask?.listDigest !== digest && isNewer(listAgeMs(), ask?.listAgeMs)
      const hasNotices = ask?.signsToken !== signsToken
      const state = create(MemberStateSchema, {
        listDigest: digest,
        listAgeMs: listAgeMs(),
        list: hasList ? create(MemberListSchema, { members: records.map(encodeMember) }) : undefined,
        signsToken,
        signs: hasNotices ? noticeTable.list().map(encodeNotice) : []
      })
      return { state, isNews: hasList || hasNotices }
    },
    merge,
    mergeNotices: mergeReceived,
    onUpdate: (listener) => {
      updateListeners.add(listener)
      return () => { updateListeners.delete(listener) }
    },
    onOwnNotices: (listener) => {
      ownNoticeListeners.add(listener)
      return () => { ownNoticeListeners.delete(listener) }
    },
    close: async () => {
      closing.abort()
      await running
    }
  }
}

function isNewer (ageMs: number, otherAgeMs: number | undefined): boolean {
  return otherAgeMs === undefined || otherAgeMs === MAX_AGE_MS || ageMs + MIN_AGE_GAIN_MS < otherAgeMs
}

function computeDigest (records: readonly InstanceRecord[]): string {
  const sorted = [...records].sort((a, b) => a.id < b.id ? -1 : 1)
  return hashHex(JSON.stringify(sorted, Object.keys(instanceRecord.shape)))
}
