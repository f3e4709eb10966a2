/** Tracks the paths to targets: whether this instance is cut off from them, and how connections are opened. */
import { LRUCache } from 'lru-cache'
import { describeCause, hash32, type Clock, type Log, type Metrics, type Random } from '../../shared'
import {
  addPathFailure, ANSWERING_MS, chooseChecks, choosePathPeer, decideReach, hasAnsweredPeersThrough,
  type ProbeCandidate, type Reach, type TargetEvidence
} from '../decisions'
import type { PeerView, Report } from '../gossip'
import type { PeerUses } from '../load'
import type { Target } from '../model'
import type { PathChoice, ProbeOutcome, TargetPaths } from './types'

export interface InstancePathsOptions {
  /** Failure domain of this instance. */
  failureDomain: string
  /** Lists all registered targets. */
  listTargets: () => Iterable<Target>
  peers: () => readonly PeerView[]
  peerUses: Pick<PeerUses, 'getAnswers' | 'listAnswered'>
  /** Opens a direct connection to an address, asks the target for its state, and closes it. */
  probe: (address: string) => Promise<ProbeOutcome>
  /** Asks the target at an address for its state through a peer; resolves to whether it answered. */
  askPeer: (peer: { instance: string, peerAddress: string }, address: string) => Promise<boolean>
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

/** Paths of an instance, with what it believes of them. */
export interface InstancePaths extends TargetPaths {
  /** Records that the silence of a target is certain. */
  recordSilent: (address: string) => void
  /** True while this instance has lost its path to targets that answer peers. */
  isCutOff: () => boolean
  /** True when bytes of the target arrived a moment ago on a direct connection. */
  isAnswering: (address: string) => boolean
  /**
   * Tests a target directly and through a peer. Resolves to true if it answers the peer only, so that the path is at
   * fault; to undefined if no peer could be asked now.
   */
  checkPath: (address: string) => Promise<boolean | undefined>
  /** True when the target has answered this instance or a peer after a time on the monotonic clock. */
  hasAnsweredSince: (address: string, key: number, since: number) => boolean
  /** True when the target has answered a peer after a time on the monotonic clock. */
  hasAnsweredPeersSince: (key: number, since: number) => boolean
  /** True when the target has certainly gone on answering peers at a time on the monotonic clock. */
  hasAnsweredPeersThrough: (key: number, at: number) => boolean
  /**
   * Calls the listener when the path to targets is lost.
   *
   * @param listener - gets the time from which on failures are due to the path, on the monotonic clock in milliseconds
   * @returns the function that removes the listener
   */
  onLost: (listener: (since: number) => void) => () => void
  /** Calls the listener when the path to targets is back; returns the function that removes it. */
  onReturn: (listener: () => void) => () => void
  close: () => void
}

/** Maximum of addresses, and of peers, that are remembered; the least recently used are evicted. */
const MAX_TRACKED = 10_000
/** Interval of test connections while the path is lost, in milliseconds. */
const PROBE_INTERVAL_MS = 250
/** Test connections that follow the first failures. */
const CHECK_COUNT = 4
/** Shortest interval between two rounds of them, in milliseconds. */
const CHECK_INTERVAL_MS = 1000
/** Time for which a decision waits for them, in milliseconds; where they hang they take longer. */
const CHECK_WAIT_MS = 100
/** Interval in which failures are looked at again, since word from peers comes later, in milliseconds. */
const REVIEW_INTERVAL_MS = 100
/** Shortest interval in which peers are asked whether they reach targets, in milliseconds. */
const ASK_INTERVAL_MS = 300
/** A peer that could not be reached, or could not reach a target, is not used for it for this long, in milliseconds. */
const PEER_PAUSE_MS = 1000
/** Maximum of test connections at once when the path may be back. */
const MAX_PROBES_AT_ONCE = 64

/** Creates the tracker of an instance. */
export function createTargetPaths (options: InstancePathsOptions): InstancePaths {
  const { peerUses, clock, random, metrics, log } = options
  const evidence = new LRUCache<string, TargetEvidence>({ max: MAX_TRACKED })
  const openedByPeers = new LRUCache<string, number>({ max: MAX_TRACKED })
  const pausedPeers = new LRUCache<string, number>({ max: MAX_TRACKED })
  const lostListeners = new Set<(since: number) => void>()
  const returnListeners = new Set<() => void>()
  const closed = new AbortController()
  /** Set while the path is lost. */
  let lost: { since: number, at: number, ended: AbortController } | undefined
  let checkedAt = -Infinity
  let askedAt = -Infinity
  let asks = 0
  let isChecking = false
  let isReviewing = false

  function record (address: string, seen: Partial<TargetEvidence>): void {
    const known = evidence.get(address)
    if (known === undefined) evidence.set(address, seen)
    else Object.assign(known, seen)
  }

  function listCandidates (): ProbeCandidate[] {
    const byAddress = new Map<string, ProbeCandidate>()
    for (const { id, address, failureDomain } of options.listTargets()) {
      // An entry that is out of date may name the address, too.
      const known = byAddress.get(address)?.evidence
      const answers = peerUses.getAnswers(hash32(id))
      byAddress.set(address, {
        address,
        failureDomain,
        evidence: {
          ...evidence.get(address),
          peersAnsweredSince: answers?.since ?? known?.peersAnsweredSince,
          peersAnsweredAt: Math.max(
            answers?.until ?? -Infinity, known?.peersAnsweredAt ?? openedByPeers.get(address) ?? -Infinity
          )
        }
      })
    }
    return [...byAddress.values()]
  }

  function decide (): Reach {
    const targets = listCandidates().map((candidate) => candidate.evidence)
    return decideReach({ targets, lostSince: lost?.since, now: clock.now() })
  }

  /** Takes in what has changed; a first failure is followed by test connections, and looked at for some time. */
  function update (): void {
    if (lost !== undefined) {
      const reach = decide()
      if (!reach.isCutOff) endCut(reach)
      return
    }
    startChecks()
    if (isReviewing) return
    isReviewing = true
    review().catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'paths to targets could not be reviewed'))
  }

  async function review (): Promise<void> {
    try {
      while (lost === undefined && !closed.signal.aborted) {
        const reach = decide()
        if (reach.failed === 0) return
        if (reach.isCutOff && !isChecking) return beginCut(reach)
        if (reach.mayBeCutOff) askAboutFailed()
        await clock.sleep(REVIEW_INTERVAL_MS, closed.signal)
      }
    } finally {
      isReviewing = false
    }
  }

  /** Test connections tell sooner than requests whether other targets are reached. */
  function startChecks (): void {
    const now = clock.now()
    if (now - checkedAt < CHECK_INTERVAL_MS) return
    const { failed, reached } = decide()
    if (reached > failed) return
    checkedAt = now
    isChecking = true
    const checks = chooseChecks(listCandidates(), CHECK_COUNT, now, random).map(({ address }) => probe(address))
    Promise.race([Promise.all(checks), clock.sleep(CHECK_WAIT_MS, closed.signal)])
      .catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'targets could not be probed'))
      .finally(() => {
        isChecking = false
        if (lost !== undefined || closed.signal.aborted) return
        const reach = decide()
        if (reach.isCutOff) beginCut(reach)
      })
  }

  async function probe (address: string): Promise<ProbeOutcome> {
    metrics.count('paths.probes')
    const outcome = await options.probe(address)
    if (closed.signal.aborted) return outcome
    if (outcome === 'answered') recordConnected(address)
    // A target that accepts the connection and is silent may be slow.
    if (outcome === 'failed') recordConnectFailed(address)
    return outcome
  }

  function choosePeerToAsk (): Report | undefined {
    if (clock.now() - askedAt < ASK_INTERVAL_MS) return undefined
    const peers = listPeers().filter(({ report }) => !isPaused(report.instance))
    return peers[asks % peers.length]?.report
  }

  async function askPeer (peer: Report, address: string): Promise<boolean> {
    const now = clock.now()
    asks += 1
    askedAt = now
    metrics.count('paths.asked')
    const isReached = await options.askPeer(peer, address)
    log.info({ peer: peer.instance, address, isReached }, 'peer asked whether it reaches a target')
    if (isReached) record(address, { peerReachedAt: now })
    return isReached
  }

  /** Where peers use no targets, their reports don't tell whether these are reached. */
  function askAboutFailed (): void {
    const failed = listCandidates().filter(({ evidence: { connectFailedAt = -Infinity, connectedAt = -Infinity } }) =>
      connectFailedAt > connectedAt)
    const address = failed[asks % failed.length]?.address
    if (address === undefined) return
    checkPath(address)
      .then(() => { if (!closed.signal.aborted) update() })
      .catch((cause: unknown) => log.error({ address, cause: describeCause(cause) }, 'peer could not be asked'))
  }

  async function checkPath (address: string): Promise<boolean | undefined> {
    const peer = choosePeerToAsk()
    if (peer === undefined) return undefined
    const [outcome, isReachedByPeer] = await Promise.all([probe(address), askPeer(peer, address)])
    return outcome !== 'answered' && isReachedByPeer
  }

  function beginCut (reach: Reach): void {
    const now = clock.now()
    lost = { since: reach.since, at: now, ended: new AbortController() }
    metrics.count('paths.lost')
    metrics.gauge('paths.cutOff', 1)
    log.warn({ ...toLogFields(reach), peers: listPeers().length }, 'path to targets lost')
    const { since, ended } = lost
    lostListeners.forEach((listener) => listener(since))
    probeUntil(AbortSignal.any([ended.signal, closed.signal])).catch((cause: unknown) => {
      log.error({ cause: describeCause(cause) }, 'targets could not be probed')
    })
  }

  function endCut (reach: Reach): void {
    const { at, ended } = lost!
    lost = undefined
    ended.abort()
    // What the cut has left would speak for the next one.
    for (const one of evidence.values()) {
      Object.assign(one, {
        connectFailedAt: undefined, silentAt: undefined, failingSince: undefined, peerReachedAt: undefined
      })
    }
    openedByPeers.clear()
    checkedAt = -Infinity
    metrics.count('paths.returned')
    metrics.gauge('paths.cutOff', 0)
    log.warn({ ...toLogFields(reach), lostMs: Math.round(clock.now() - at) }, 'path to targets is back')
    returnListeners.forEach((listener) => listener())
  }

  function toLogFields ({ since, failed, reached, contradicted }: Reach): Record<string, number> {
    return { failed, reached, answeringPeers: contradicted, sinceMs: Math.round(clock.now() - since) }
  }

  async function probeUntil (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(PROBE_INTERVAL_MS * (0.75 + random() / 2), signal)
      if (signal.aborted) return
      const candidates = listCandidates()
      const chosen = candidates[Math.floor(random() * candidates.length)]
      if (chosen !== undefined) probeOne(chosen.address)
      askAboutFailed()
      update()
    }
  }

  function probeOne (address: string): void {
    probe(address).catch((cause: unknown) => {
      log.error({ address, cause: describeCause(cause) }, 'target could not be probed')
    })
  }

  function isReachedSince (
    { connectedAt = -Infinity, connectFailedAt = -Infinity }: TargetEvidence, since: number
  ): boolean {
    return connectedAt >= Math.max(since, connectFailedAt)
  }

  function recordConnected (address: string): void {
    const isFirst = lost !== undefined && !isReachedSince(evidence.get(address) ?? {}, lost.since)
    record(address, { connectedAt: clock.now() })
    if (lost === undefined || !isFirst) return
    const { since } = lost
    update()
    if (lost === undefined) return
    // Where one target is reached again, the others may be, too.
    listCandidates().filter((one) => !isReachedSince(one.evidence, since)).slice(0, MAX_PROBES_AT_ONCE)
      .forEach((one) => probeOne(one.address))
  }

  function recordConnectFailed (address: string): void {
    evidence.set(address, addPathFailure(evidence.get(address) ?? {}, 'connectFailedAt', clock.now()))
    if (lost === undefined) update()
  }

  function isPaused (key: string): boolean {
    return (pausedPeers.get(key) ?? -Infinity) > clock.now() - PEER_PAUSE_MS
  }

  function listPeers (): PeerView[] {
    return options.peers().filter(({ report }) => report.stage === 'serving' && !report.isCutOff)
  }

  function choosePath (address: string): PathChoice {
    if (lost === undefined || isReachedSince(evidence.get(address) ?? {}, lost.since)) return { type: 'direct' }
    const targets = [...options.listTargets()].filter((target) => target.address === address)
    const answered = new Set(targets.flatMap(({ id }) => [...peerUses.listAnswered(hash32(id))]))
    const peers = listPeers()
      .filter(({ report }) => !isPaused(report.instance) && !isPaused(`${report.instance} ${address}`))
      .map(({ report: { instance, peerAddress, failureDomain } }) => (
        { instance, peerAddress, failureDomain, isAnswered: answered.has(instance) }
      ))
    const targetDomain = targets[0]?.failureDomain
    const peer = choosePathPeer({ peers, ownDomain: options.failureDomain, targetDomain }, random)
    if (peer === undefined) {
      metrics.count('paths.noPeer')
      return { type: 'direct' }
    }
    return { type: 'peer', instance: peer.instance, peerAddress: peer.peerAddress }
  }

  function isAnswering (address: string): boolean {
    return (evidence.get(address)?.bytesAt ?? -Infinity) >= clock.now() - ANSWERING_MS
  }

  function hasAnsweredPeersSince (key: number, since: number): boolean {
    return (peerUses.getAnswers(key)?.until ?? -Infinity) - ANSWERING_MS > since
  }

  return {
    recordConnected,
    recordConnectFailed,
    recordBytes: (address) => record(address, { bytesAt: clock.now() }),
    recordSilent: (address) => {
      evidence.set(address, addPathFailure(evidence.get(address) ?? {}, 'silentAt', clock.now()))
      if (lost === undefined) update()
    },
    recordPeerOutcome: (instance, address, outcome) => {
      metrics.count(`paths.${outcome}`)
      const handlers = {
        connected: () => { openedByPeers.set(address, clock.now()) },
        peerFailed: () => { pausedPeers.set(instance, clock.now()) },
        targetFailed: () => { pausedPeers.set(`${instance} ${address}`, clock.now()) }
      }
      handlers[outcome]()
    },
    choose: choosePath,
    isDirectUsable: (address) => lost === undefined || isReachedSince(evidence.get(address) ?? {}, lost.since) ||
      (isAnswering(address) && evidence.get(address)!.bytesAt! > lost.since),
    isCutOff: () => lost !== undefined,
    isAnswering,
    checkPath,
    hasAnsweredSince: (address, key, since) =>
      (evidence.get(address)?.bytesAt ?? -Infinity) > since || hasAnsweredPeersSince(key, since),
    hasAnsweredPeersSince,
    hasAnsweredPeersThrough: (key, at) => {
      const answers = peerUses.getAnswers(key)
      return hasAnsweredPeersThrough({ peersAnsweredSince: answers?.since, peersAnsweredAt: answers?.until }, at)
    },
    onLost: (listener) => {
      lostListeners.add(listener)
      return () => { lostListeners.delete(listener) }
    },
    onReturn: (listener) => {
      returnListeners.add(listener)
      return () => { returnListeners.delete(listener) }
    },
    close: () => closed.abort()
  }
}
