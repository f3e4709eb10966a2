/** What is in use at each target, by this instance and by its peers, and which targets are left out for a while. */
import { LRUCache } from 'lru-cache'
import { hash32, type Clock, type Log, type Metrics } from '../../shared'
import { suspectAfterFailure, type FailureRecord, type SuspicionRules } from '../decisions'
import type { FarUses, PeerView, TargetUse } from '../gossip'
import type { ReportedLoad, Target } from '../model'
import type { TargetDirectory } from '../targets'
import type { PeerUses } from './peerUses'

export type WorkClass = 'live' | 'batch'

/** Load of one target, as far as this instance knows. */
export interface TargetLoad {
  target: Target
  /** Hash by which peers name the target. */
  key: number
  /** Requests of all instances. */
  live: number
  batch: number
  /** Requests of this instance among them. */
  ownLive: number
  ownBatch: number
  /** True when it failed a request of this instance or of a peer a short while ago. */
  isSuspect: boolean
  /** True when the load is as it was some milliseconds ago; that of far targets is about a second old. */
  isFresh: boolean
  /** True when this instance tries it before others. */
  isPreferred: boolean
}

export interface LoadViewOptions {
  targets: TargetDirectory
  /** Sums of what peers report. */
  peerUses: PeerUses
  peers: () => readonly PeerView[]
  /** True when the instances of a failure domain tell this one of each change. */
  isClose: (failureDomain: string) => boolean
  /** True when this instance tries the target before others. */
  isPreferred: (target: Target) => boolean
  rules: SuspicionRules
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface LoadView {
  /** Loads of the targets of a service that may get requests. */
  loads: (service: string) => TargetLoad[]
  /** Load of one target; undefined when it is not known. */
  loadOf: (targetId: string) => TargetLoad | undefined
  /** Load of the target that peers name by this hash; undefined when it is not known. */
  loadByKey: (key: number) => TargetLoad | undefined
  /** Notes that this instance sent work to a target. */
  begin: (targetId: string, work: WorkClass) => void
  end: (targetId: string, work: WorkClass) => void
  /** Notes that a target failed a request; it is left out for a while. */
  noteFailure: (targetId: string, reason: string) => void
  /**
   * Notes that a target answered.
   *
   * @param sentAt - when the request was sent, on the monotonic clock; an earlier suspicion ends
   */
  noteSuccess: (targetId: string, sentAt: number) => void
  ownUses: () => ReadonlyMap<number, TargetUse>
  /** What instances of other failure domains are told. */
  farUses: () => FarUses
  ownSuspects: () => ReadonlySet<number>
  /** Notes what a target said of its load. */
  noteReported: (targetId: string, load: ReportedLoad) => void
  /** Peers with batch items at a target, those with most first. */
  batchHolders: (key: number) => PeerView[]
  /** Calls the listener when this instance's use or its suspects change. */
  onOwnChange: (listener: () => void) => void
}

interface OwnUse extends TargetUse {
  key: number
}

interface OwnSuspicion {
  since: number
  until: number
}

/** Targets of which hashes and failures are kept, also after they left. */
const REMEMBERED_TARGETS = 10_000

/** Creates the view. */
export function createLoadView (options: LoadViewOptions): LoadView {
  const { targets, peerUses, peers, rules, clock, metrics, log } = options
  const own = new Map<string, OwnUse>()
  const suspicions = new Map<string, OwnSuspicion>()
  /** By hash of the target's id, since peers name targets so. */
  const failures = new LRUCache<number, FailureRecord>({ max: REMEMBERED_TARGETS })
  const keys = new LRUCache<string, number>({ max: REMEMBERED_TARGETS })
  const slots = new Map<string, number>()
  const listeners: Array<() => void> = []

  peerUses.onSuspect((key) => failures.set(key, suspectAfterFailure(failures.get(key), clock.now(), rules).record))

  function keyOf (id: string): number {
    let key = keys.get(id)
    if (key === undefined) {
      key = hash32(id)
      keys.set(id, key)
    }
    return key
  }

  function change (id: string, work: WorkClass, by: 1 | -1): void {
    const use = own.get(id) ?? { key: keyOf(id), live: 0, batch: 0 }
    use[work] += by
    if (use.live + use.batch > 0) own.set(id, use)
    else own.delete(id)
    notify()
  }

  function notify (): void {
    listeners.forEach((listener) => listener())
  }

  function isOwnSuspect (id: string): boolean {
    return (suspicions.get(id)?.until ?? 0) > clock.now()
  }

  function loadOf (target: Target): TargetLoad {
    const key = keyOf(target.id)
    const mine = own.get(target.id)
    const theirs = peerUses.usesOf(key)
    return {
      target: { ...target, slots: slots.get(target.id) ?? target.slots },
      key,
      live: theirs.live + (mine?.live ?? 0),
      batch: theirs.batch + (mine?.batch ?? 0),
      ownLive: mine?.live ?? 0,
      ownBatch: mine?.batch ?? 0,
      isSuspect: isOwnSuspect(target.id) || peerUses.isSuspect(key),
      isFresh: options.isClose(target.failureDomain),
      isPreferred: options.isPreferred(target)
    }
  }

  function loadOfId (id: string): TargetLoad | undefined {
    const target = targets.get(id)
    return target === undefined ? undefined : loadOf(target)
  }

  function noteFailure (id: string, reason: string): void {
    const now = clock.now()
    const key = keyOf(id)
    const { record, forMs } = suspectAfterFailure(failures.get(key), now, rules)
    failures.set(key, record)
    const until = Math.max(suspicions.get(id)?.until ?? 0, now + forMs)
    suspicions.set(id, { since: now, until })
    metrics.count(`suspects.${reason}`)
    log.info({ target: id, reason, weight: record.weight, forMs: Math.round(forMs) }, 'target is left out')
    notify()
  }

  return {
    loads: (service) => targets.usable(service).map(loadOf),
    loadOf: loadOfId,
    loadByKey: (key) => {
      for (const target of targets.all()) if (keyOf(target.id) === key) return loadOf(target)
      return undefined
    },
    begin: (id, work) => change(id, work, 1),
    end: (id, work) => change(id, work, -1),
    noteFailure,
    noteSuccess: (id, sentAt) => {
      const suspicion = suspicions.get(id)
      if (suspicion === undefined || suspicion.since > sentAt) return
      suspicions.delete(id)
      notify()
    },
    farUses: () => {
      const mine = new Map<number, TargetUse>()
      const domain = new Map<number, TargetUse>()
      for (const target of targets.all()) {
        const { key, live, batch, ownLive, ownBatch, isFresh } = loadOf(target)
        if (isFresh && live + batch > 0) domain.set(key, { live, batch })
        if (!isFresh && ownLive + ownBatch > 0) mine.set(key, { live: ownLive, batch: ownBatch })
      }
      return { own: mine, domain }
    },
    ownUses: () => new Map([...own.values()].map(({ key, live, batch }) => [key, { live, batch }])),
    ownSuspects: () => {
      const now = clock.now()
      for (const [id, { until }] of suspicions) if (until <= now) suspicions.delete(id)
      return new Set([...suspicions.keys()].map(keyOf))
    },
    noteReported: (id, load) => { slots.set(id, load.slots) },
    batchHolders: (key) => peers()
      .filter(({ report }) => (report.uses.get(key)?.batch ?? 0) > 0)
      .sort((a, b) => b.report.uses.get(key)!.batch - a.report.uses.get(key)!.batch),
    onOwnChange: (listener) => { listeners.push(listener) }
  }
}
