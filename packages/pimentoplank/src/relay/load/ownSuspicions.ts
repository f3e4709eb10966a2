/** Tracks the targets that failed requests of this instance and are left out for a while. */
import { LRUCache } from 'lru-cache'
import { describeCause, type Clock, type Log, type Metrics } from '../../shared'
import { computeSuspicion, type FailureRecord, type SuspicionRules } from '../decisions'
import type { InstancePaths } from '../paths'

/**
 * What a failure may be the fault of.
 *
 * - `target`: the target itself
 * - `connect`: no connection could be opened, for which the path to the target may be at fault
 * - `silence`: nothing came over a connection; likewise
 * - `cut`: a connection broke, for which the target answers unless the path to all targets is lost
 */
export type FaultKind = 'target' | 'connect' | 'silence' | 'cut'

export interface OwnSuspects {
  /** Hashes of all suspects. */
  all: ReadonlySet<number>
  /** Those that were not reached or silent, so that the path may be at fault. */
  unreached: ReadonlySet<number>
}

export interface OwnSuspicionsOptions {
  getKey: (targetId: string) => number
  /** Returns the address of a target; undefined for an unknown target. */
  getAddress: (targetId: string) => string | undefined
  paths: Pick<
    InstancePaths,
    'isCutOff' | 'hasAnsweredSince' | 'hasAnsweredPeersSince' | 'hasAnsweredPeersThrough' | 'checkPath' | 'onLost'
  >
  rules: SuspicionRules
  /** Called when a suspicion begins or ends. */
  onChange: () => void
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface OwnSuspicions {
  /** Records that a target failed a request. */
  recordFailure: (targetId: string, reason: string, kind: FaultKind) => void
  /** Records that a target answered a request that was sent at the given time. */
  recordSuccess: (targetId: string, sentAt: number) => void
  /** Adds the failure of a target that a peer has seen to its history. */
  addPeerFailure: (key: number) => void
  isSuspect: (targetId: string) => boolean
  /** Lists the suspects of which peers are told; none while this instance is cut off from targets. */
  list: () => OwnSuspects
}

interface Suspicion {
  since: number
  until: number
  kind: FaultKind
  /** Failure history of the target without this failure. */
  before: FailureRecord | undefined
}

/** Number of targets whose failure records are cached, including removed targets. */
const MAX_TRACKED_TARGETS = 10_000
/** Connections that broke up to this long before the path was seen to be lost did so with it, in milliseconds. */
const CUT_MARGIN_MS = 1000
/** Suspicions are kept for this long after their end, since word that targets answer comes later, in milliseconds. */
const CONTRADICTION_WAIT_MS = 1000
/** For how long it counts that a target answers a peer, but not this instance, in milliseconds. */
const LOST_PATH_MS = 5000
const NO_SUSPECTS: OwnSuspects = { all: new Set(), unreached: new Set() }

function isPathLike ({ kind }: Pick<Suspicion, 'kind'>): boolean {
  return kind === 'connect' || kind === 'silence'
}

/** Creates the tracker of an instance. */
export function createOwnSuspicions (options: OwnSuspicionsOptions): OwnSuspicions {
  const { getKey, paths, rules, clock, metrics, log } = options
  const suspicions = new Map<string, Suspicion>()
  /** By hash of the target's id, which is how peers identify targets. */
  const failures = new LRUCache<number, FailureRecord>({ max: MAX_TRACKED_TARGETS })

  /** When a target was last found to answer a peer only, by its id. */
  const lostPaths = new LRUCache<string, number>({ max: MAX_TRACKED_TARGETS })

  paths.onLost((lostSince) => {
    for (const [id, suspicion] of suspicions) {
      const isOfCut = suspicion.kind === 'cut' && suspicion.since >= lostSince - CUT_MARGIN_MS
      if (isPathLike(suspicion) || isOfCut) drop(id, suspicion)
    }
    options.onChange()
  })

  /** Ends a suspicion as if the failure had not been. */
  function drop (id: string, { before }: Suspicion): void {
    suspicions.delete(id)
    if (before === undefined) failures.delete(getKey(id))
    else failures.set(getKey(id), before)
  }

  /** True when the target has answered since. */
  function isContradicted (id: string, suspicion: Suspicion): boolean {
    const address = options.getAddress(id)
    if (address === undefined || !isPathLike(suspicion)) return false
    // A target that goes on after a silence was at fault as likely as the path.
    return suspicion.kind === 'connect'
      ? paths.hasAnsweredSince(address, getKey(id), suspicion.since)
      : paths.hasAnsweredPeersSince(getKey(id), suspicion.since)
  }

  /** A target that just could not be connected to is left out for a moment, whatever comes over open connections. */
  function isUndone (id: string, suspicion: Suspicion): boolean {
    return clock.now() >= suspicion.since + rules.initialMs && isContradicted(id, suspicion)
  }

  function prune (): void {
    const now = clock.now()
    for (const [id, suspicion] of suspicions) {
      if (isUndone(id, suspicion)) {
        // A target that was down for all and is back has failed; one that went on answering has not.
        const isOfPath = paths.hasAnsweredPeersThrough(getKey(id), suspicion.since)
        log.info({ target: id, sinceMs: Math.round(now - suspicion.since), isOfPath }, 'suspect answers others')
        metrics.count('suspects.contradicted')
        if (isOfPath) drop(id, suspicion)
        else suspicions.delete(id)
      } else if (suspicion.until + (isPathLike(suspicion) ? CONTRADICTION_WAIT_MS : 0) <= now) {
        suspicions.delete(id)
      }
    }
  }

  /** Where the path to a single target is lost, no failures of other targets tell so. */
  async function checkPath (id: string): Promise<void> {
    const address = options.getAddress(id)
    const isLost = address === undefined ? undefined : await paths.checkPath(address)
    if (isLost === undefined) return
    log.info({ target: id, isLost }, 'path to a suspect was tested')
    if (isLost) lostPaths.set(id, clock.now())
    else lostPaths.delete(id)
    options.onChange()
  }

  /** True for a suspect of which peers need not be told. */
  function isOfLostPath (id: string, suspicion: Suspicion): boolean {
    return isPathLike(suspicion) && (lostPaths.get(id) ?? -Infinity) >= clock.now() - LOST_PATH_MS
  }

  function recordFailure (id: string, reason: string, kind: FaultKind): void {
    if (kind !== 'target' && paths.isCutOff()) {
      metrics.count('suspects.cutOff')
      log.info({ target: id, reason }, 'no fault of the target: the path to targets is lost')
      return
    }
    prune()
    const now = clock.now()
    const key = getKey(id)
    const current = suspicions.get(id)
    const earlier = failures.get(key)
    const { record, forMs } = computeSuspicion(earlier, now, rules)
    failures.set(key, record)
    const until = Math.max(current?.until ?? 0, now + forMs)
    const isCurrentWorse = current !== undefined && current.until > now && current.kind === 'target'
    suspicions.set(id, isCurrentWorse
      ? { ...current, since: now, until }
      : { since: now, until, kind, before: getHistoryBefore(key, current, earlier) })
    metrics.count(`suspects.${reason}`)
    log.info({ target: id, reason, weight: record.weight, forMs: Math.round(forMs) }, 'target is left out')
    options.onChange()
    if (!isPathLike({ kind })) return
    checkPath(id).catch((cause: unknown) => log.error({ target: id, cause: describeCause(cause) }, 'path could not be tested'))
  }

  /** Failures of a target that answers peers meanwhile are undone together. */
  function getHistoryBefore (
    key: number, current: Suspicion | undefined, earlier: FailureRecord | undefined
  ): FailureRecord | undefined {
    const isChained = current !== undefined && isPathLike(current) &&
      paths.hasAnsweredPeersThrough(key, current.since - CONTRADICTION_WAIT_MS)
    return isChained ? current.before : earlier
  }

  return {
    recordFailure,
    recordSuccess: (id, sentAt) => {
      const suspicion = suspicions.get(id)
      if (suspicion === undefined || suspicion.since > sentAt) return
      suspicions.delete(id)
      options.onChange()
    },
    addPeerFailure: (key) => {
      failures.set(key, computeSuspicion(failures.get(key), clock.now(), rules).record)
    },
    isSuspect: (id) => {
      const suspicion = suspicions.get(id)
      return suspicion !== undefined && suspicion.until > clock.now() && !isUndone(id, suspicion)
    },
    list: () => {
      prune()
      if (paths.isCutOff()) return NO_SUSPECTS
      const active = [...suspicions].filter(([id, suspicion]) =>
        suspicion.until > clock.now() && !isContradicted(id, suspicion) && !isOfLostPath(id, suspicion))
      const unreached = active.filter(([, suspicion]) => isPathLike(suspicion))
      return {
        all: new Set(active.map(([id]) => getKey(id))), unreached: new Set(unreached.map(([id]) => getKey(id)))
      }
    }
  }
}
