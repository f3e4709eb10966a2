/**
 * Reach: whether this instance is cut off from targets, and over which path it connects to them.
 *
 * Load pattern: some instances lose the path to all targets for seconds, while callers, peers and the store still reach
 * them. New connections hang or are refused; open ones hang, are reset, or live on. What tells such a cut from targets
 * that are down is that the same targets answer peers meanwhile. The reverse must not look like it: targets that are
 * down for all or for one failure domain, a sound target that is silent for a second, an instance without evidence.
 */
import type { Random } from '../../shared'

/** What is known of the path to one target; times are on the monotonic clock, in milliseconds. */
export interface TargetEvidence {
  /** When a new direct connection last brought bytes. */
  connectedAt?: number
  /** When a direct connection last could not be established, or was reset before it brought bytes. */
  connectFailedAt?: number
  /** When bytes last arrived on a direct connection. */
  bytesAt?: number
  /** When a silence of the target was last certain. */
  silentAt?: number
  /** When the first of the failures was seen that no connection has followed. */
  failingSince?: number
  /** Since when peers have been heard to be answered by the target, without a longer gap. */
  peersAnsweredSince?: number
  /** When it was last heard that the target answers a peer, or a peer opened a connection to it. */
  peersAnsweredAt?: number
  /** When the last test through a peer began that the target answered. */
  peerReachedAt?: number
}

export interface ReachInput {
  targets: readonly TargetEvidence[]
  /** When the cut began that is believed so far; undefined while none is. */
  lostSince?: number
  /** Time on the monotonic clock, in milliseconds. */
  now: number
}

/** Belief on the path to targets, with the numbers that it rests on. */
export interface Reach {
  isCutOff: boolean
  /** When the cut began, for all that is known: with the first failure that no connection has followed. */
  since: number
  /** Targets that are not reached. */
  failed: number
  /** Targets that are reached, for all that is known. */
  reached: number
  /** Targets that are not reached and answer peers. */
  contradicted: number
  /** True when the failures are those of a cut if peers reach the targets. */
  mayBeCutOff: boolean
}

/** A target counts as answering for this long after its last bytes, in milliseconds. */
export const ANSWERING_MS = 500
/** Failures older than this are no evidence of a cut, in milliseconds. */
const EVIDENCE_MS = 2000
/** Reports that a target answers peers count for this long, in milliseconds. */
const PEER_EVIDENCE_MS = 1000
/** A cut is believed for this long without word that targets answer peers, in milliseconds. */
const MAX_UNCONFIRMED_MS = 1000
/** Fewest targets that fail in a cut, where there are as many. */
const MIN_FAILED = 2
/** Share of the targets with evidence that fail in a cut. */
const FAILED_SHARE = 0.75

const NEVER = -Infinity

/** True when new connections to the target fail. */
function isUnconnectable ({ connectFailedAt = NEVER, connectedAt = NEVER }: TargetEvidence, since: number): boolean {
  return connectFailedAt >= since && connectFailedAt > connectedAt
}

/** True when nothing comes over open connections to the target. */
function isSilent ({ silentAt = NEVER, connectedAt = NEVER, bytesAt = NEVER }: TargetEvidence, since: number): boolean {
  return silentAt >= since && silentAt > Math.max(connectedAt, bytesAt)
}

function getFailedAt ({ connectFailedAt = NEVER, silentAt = NEVER }: TargetEvidence): number {
  return Math.max(connectFailedAt, silentAt)
}

/** Adds a failure of the path to what is known of it. */
export function addPathFailure (
  before: TargetEvidence, kind: 'connectFailedAt' | 'silentAt', now: number
): TargetEvidence {
  const isFailing = getFailedAt(before) > Math.max(before.connectedAt ?? NEVER, now - EVIDENCE_MS)
  return { ...before, [kind]: now, failingSince: isFailing ? before.failingSince ?? now : now }
}

/** Decides whether this instance is cut off from targets. */
export function decideReach ({ targets, lostSince, now }: ReachInput): Reach {
  const windowStart = (lostSince ?? now) - EVIDENCE_MS
  const failed = targets.filter((target) => isUnconnectable(target, windowStart) || isSilent(target, windowStart))
  if (failed.length === 0) {
    return { isCutOff: false, since: now, failed: 0, reached: 0, contradicted: 0, mayBeCutOff: false }
  }
  const failingSince = Math.min(...failed.map((target) => target.failingSince ?? getFailedAt(target)))
  const reachedSince = lostSince ?? Math.max(windowStart, failingSince)
  // Open connections may live on in a cut, so that bytes on them say nothing of new ones.
  const areConnectsTried = failed.filter((target) => isUnconnectable(target, windowStart)).length >= MIN_FAILED
  const reached = targets.filter((target) => !failed.includes(target) &&
    Math.max(target.connectedAt ?? NEVER, areConnectsTried ? NEVER : target.bytesAt ?? NEVER) >= reachedSince)
  const heardSince = now - (lostSince === undefined ? PEER_EVIDENCE_MS : MAX_UNCONFIRMED_MS)
  // A failure before the test may be that of a target which was back by then.
  const isReachedByPeer = (target: TargetEvidence): boolean => (target.peerReachedAt ?? NEVER) >= heardSince &&
    (lostSince !== undefined || getFailedAt(target) >= target.peerReachedAt!)
  const contradicted = failed.filter((target) => isReachedByPeer(target) ||
    ((target.peersAnsweredAt ?? NEVER) >= heardSince &&
      (lostSince !== undefined || hadAnsweredPeers(target, getFailedAt(target)))))
  const counts = {
    since: lostSince ?? findBeginning(targets, failed, now),
    failed: failed.length,
    reached: reached.length,
    contradicted: contradicted.length
  }
  const isMost = failed.length >= FAILED_SHARE * (failed.length + reached.length)
  if (lostSince !== undefined) {
    return { ...counts, isCutOff: isMost && contradicted.length > 0, mayBeCutOff: isMost }
  }
  // A target may be down with peers that have not noticed yet; several of many at once rarely are.
  const isProven = failed.some((target) => isReachedByPeer(target) ||
    hasAnsweredPeersThrough(target, getFailedAt(target)))
  const isLikely = contradicted.length >= MIN_FAILED && targets.length > MIN_FAILED
  const isEnough = failed.length >= Math.min(MIN_FAILED, targets.length)
  const mayBeCutOff = isEnough && isMost
  return { ...counts, isCutOff: mayBeCutOff && (isProven || isLikely), mayBeCutOff }
}

function findBeginning (
  targets: readonly TargetEvidence[], failed: readonly TargetEvidence[], now: number
): number {
  const lastConnectedAt = Math.max(...targets.map(({ connectedAt = NEVER }) => connectedAt))
  const times = failed.flatMap((target) => [target.failingSince ?? now, getFailedAt(target)])
  return Math.min(now, ...times.filter((at) => at > lastConnectedAt))
}

/** False for a target that may have been down for all at the given time. */
function hadAnsweredPeers ({ peersAnsweredSince = Infinity }: TargetEvidence, at: number): boolean {
  return peersAnsweredSince <= at
}

/** True when it is certain that the target went on answering peers at the given time. */
export function hasAnsweredPeersThrough (target: TargetEvidence, at: number): boolean {
  return hadAnsweredPeers(target, at) && (target.peersAnsweredAt ?? NEVER) - ANSWERING_MS > at
}

/** A peer through which connections may be opened. */
export interface PathPeer {
  instance: string
  peerAddress: string
  failureDomain: string
  /** True when the target answers it now. */
  isAnswered: boolean
}

export interface PathInput {
  /** Peers that serve, are not cut off themselves, and have not just failed. */
  peers: readonly PathPeer[]
  /** Failure domain of this instance. */
  ownDomain: string
  /** Failure domain of the target; undefined when it is not known. */
  targetDomain: string | undefined
}

/** Chooses the peer through which a connection is opened; undefined if there is none. */
export function choosePathPeer ({ peers, ownDomain, targetDomain }: PathInput, random: Random): PathPeer | undefined {
  const rank = ({ isAnswered, failureDomain }: PathPeer): number =>
    (isAnswered ? 0 : 3) + (failureDomain === ownDomain ? 0 : failureDomain === targetDomain ? 1 : 2)
  const best = Math.min(...peers.map(rank))
  const equals = peers.filter((peer) => rank(peer) === best)
  return equals[Math.floor(random() * equals.length)]
}

export interface ProbeCandidate {
  address: string
  failureDomain: string
  evidence: TargetEvidence
}

/**
 * Chooses targets for test connections: those that are silent, which may be slow, and others than those that failed.
 */
export function chooseChecks (
  candidates: readonly ProbeCandidate[], count: number, now: number, random: Random
): ProbeCandidate[] {
  const since = now - EVIDENCE_MS
  const hasFailed = ({ evidence }: ProbeCandidate): boolean =>
    isUnconnectable(evidence, since) || isSilent(evidence, since)
  const failedDomains = new Set(candidates.filter(hasFailed).map(({ failureDomain }) => failureDomain))
  const order = ({ failureDomain, evidence }: ProbeCandidate): number =>
    random() + (isSilent(evidence, since) ? -1 : failedDomains.has(failureDomain) ? 1 : 0)
  return candidates.filter(({ evidence }) => !isUnconnectable(evidence, since))
    .map((candidate) => ({ candidate, order: order(candidate) }))
    .sort((a, b) => a.order - b.order)
    .slice(0, count)
    .map(({ candidate }) => candidate)
}
