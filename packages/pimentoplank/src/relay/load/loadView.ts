/** Tracks the load of each target, from this instance and its peers, and which targets are suspected to fail. */
import { LRUCache } from 'lru-cache'
import { hash32, type Clock, type Log, type Metrics } from '../../shared'
import type { SuspicionRules } from '../decisions'
import type { FarUses, PeerView, TargetUse } from '../gossip'
import type { ReportedLoad, Target } from '../model'
import type { InstancePaths } from '../paths'
import type { TargetDirectory } from '../targets'
import { createOwnSuspicions, type FaultKind, type OwnSuspects, type OwnSuspicionsOptions } from './ownSuspicions'
import type { PeerUses } from './peerUses'
import type { TargetLimits } from './targetLimits'

export type WorkClass = 'live' | 'batch'

/** Load of one target as seen by this instance. */
export interface TargetLoad {
  target: Target
  /** Hash that identifies the target in peer reports. */
  key: number
  /** Live requests in flight, from all instances. */
  live: number
  /** Batch items in flight, from all instances. */
  batch: number
  /** The part of `live` and `batch` that this instance sent. */
  ownLive: number
  ownBatch: number
  /** True while it is excluded because it failed a request of this instance or of a peer. */
  isSuspect: boolean
  /** True while it is excluded because of failures that this instance itself has seen. */
  isOwnSuspect: boolean
  /** True when another process than the listed one answers at its address; its entry is out of date. */
  isOutdated: boolean
  /** True when it leaves and is used only where no others are left. */
  isLeaving: boolean
  /** True when the load is only milliseconds old; that of other failure domains is about a second old. */
  isFresh: boolean
  /** True when this instance tries the target before others. */
  isPreferred: boolean
  /** Requests that this instance may send now; infinite unless the target has named a limit. */
  allowance: number
  /** Limit that the target has named, in requests a second from all instances together. */
  limitPerSecond?: number
}

export interface LoadViewOptions {
  targets: TargetDirectory
  /** Load of each target, summed over the peers. */
  peerUses: PeerUses
  peers: () => readonly PeerView[]
  /** True when the instances of a failure domain report each change of their load to this one. */
  isClose: (failureDomain: string) => boolean
  /** True when this instance tries the target before others. */
  isPreferred: (target: Target) => boolean
  limits: Pick<TargetLimits, 'getAllowance' | 'getLimit' | 'take'>
  paths: OwnSuspicionsOptions['paths'] & Pick<InstancePaths, 'isAnswering'>
  rules: SuspicionRules
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface LoadView {
  /** Lists the load of each target of a service that may receive new requests, leaving ones included. */
  getLoads: (service: string) => TargetLoad[]
  /** Finds the load of a target by its id; undefined for an unknown target. */
  getLoad: (targetId: string) => TargetLoad | undefined
  /** Finds the load of a target by the hash that peers use for it; undefined for an unknown target. */
  getLoadByKey: (key: number) => TargetLoad | undefined
  /** Counts a request that this instance sends to a target. */
  begin: (targetId: string, work: WorkClass) => void
  /** Removes a request that is over from the count. */
  end: (targetId: string, work: WorkClass) => void
  /**
   * Records that a target failed a request and excludes it for some time.
   *
   * @param reason - cause of the failure, for the log and the metric
   * @param kind - what it may be the fault of
   */
  recordFailure: (targetId: string, reason: string, kind: FaultKind) => void
  /** Records that another process than the one that an entry describes answers at the address of the target. */
  recordOutdated: (target: Target) => void
  /**
   * Records that a target answered, which ends a suspicion that began before the request was sent.
   *
   * @param sentAt - when the request was sent, on the monotonic clock in milliseconds
   */
  recordSuccess: (targetId: string, sentAt: number) => void
  /** Returns the requests of this instance at each target, by hash of the target's id. */
  getOwnUses: () => ReadonlyMap<number, TargetUse>
  /** Returns the load that is reported to other failure domains. */
  getFarUses: () => FarUses
  /** Returns the hashes of the targets that this instance itself suspects; none while it is cut off from targets. */
  getOwnSuspects: () => OwnSuspects
  /** Records the load that a target reported with a response. */
  recordReportedLoad: (targetId: string, load: ReportedLoad) => void
  /** Lists the peers with batch items at a target, in descending order of their number. */
  listBatchHolders: (key: number) => PeerView[]
  /** Calls the listener when the load of this instance or its suspects change. */
  onOwnChange: (listener: () => void) => void
}

interface OwnUse extends TargetUse {
  key: number
}

/** Number of targets whose hashes are cached, including removed targets. */
const MAX_TRACKED_TARGETS = 10_000

export function createLoadView (options: LoadViewOptions): LoadView {
  const { targets, peerUses, peers, paths, log } = options
  const ownUses = new Map<string, OwnUse>()
  const keys = new LRUCache<string, number>({ max: MAX_TRACKED_TARGETS })
  /** Start of the process that the outdated entry of a target describes, by the target's id. */
  const outdated = new LRUCache<string, number>({ max: MAX_TRACKED_TARGETS })
  const reportedSlots = new Map<string, number>()
  const listeners: Array<() => void> = []

  const suspicions = createOwnSuspicions({
    ...options, getKey, getAddress: (id) => targets.get(id)?.address, onChange: notify
  })
  peerUses.onSuspect((key, isUnreached) => {
    // What a peer doesn't reach is no failure of a target that answers here.
    if (!isUnreached || !isAnsweringKey(key)) suspicions.addPeerFailure(key)
  })

  function isAnsweringKey (key: number): boolean {
    return [...targets.all()].some(({ id, address }) => getKey(id) === key && paths.isAnswering(address))
  }

  function getKey (id: string): number {
    let key = keys.get(id)
    if (key === undefined) {
      key = hash32(id)
      keys.set(id, key)
    }
    return key
  }

  function changeOwnUse (id: string, work: WorkClass, by: 1 | -1): void {
    const use = ownUses.get(id) ?? { key: getKey(id), live: 0, batch: 0 }
    use[work] += by
    if (use.live + use.batch > 0) ownUses.set(id, use)
    else ownUses.delete(id)
    notify()
  }

  function notify (): void {
    listeners.forEach((listener) => listener())
  }

  function isAnswering (id: string): boolean {
    const address = targets.get(id)?.address
    return address !== undefined && paths.isAnswering(address)
  }

  /** Peers that don't reach a target which answers here, or another peer, tell only of their path. */
  function isPeerSuspect (key: number, address: string): boolean {
    if (peerUses.isSuspect(key)) return true
    const since = peerUses.getUnreachedSince(key)
    return since !== undefined && !paths.hasAnsweredSince(address, key, since)
  }

  function computeLoad (target: Target, isLeaving = false): TargetLoad {
    const key = getKey(target.id)
    const ownUse = ownUses.get(target.id)
    const peerUse = peerUses.getUse(key)
    return {
      target: { ...target, slots: reportedSlots.get(target.id) ?? target.slots },
      key,
      live: peerUse.live + (ownUse?.live ?? 0),
      batch: peerUse.batch + (ownUse?.batch ?? 0),
      ownLive: ownUse?.live ?? 0,
      ownBatch: ownUse?.batch ?? 0,
      isSuspect: suspicions.isSuspect(target.id) || isPeerSuspect(key, target.address),
      isOwnSuspect: suspicions.isSuspect(target.id),
      isOutdated: target.startedAt !== undefined && outdated.get(target.id) === target.startedAt,
      isLeaving,
      isFresh: options.isClose(target.failureDomain),
      isPreferred: options.isPreferred(target),
      allowance: options.limits.getAllowance(target),
      limitPerSecond: options.limits.getLimit(target.id)
    }
  }

  function findLoad (id: string): TargetLoad | undefined {
    const target = targets.get(id)
    return target === undefined ? undefined : computeLoad(target)
  }

  return {
    getLoads: (service) => [
      ...targets.getUsable(service).map((target) => computeLoad(target)),
      ...targets.getLeaving(service).map((target) => computeLoad(target, true))
    ],
    getLoad: findLoad,
    getLoadByKey: (key) => {
      for (const target of targets.all()) if (getKey(target.id) === key) return computeLoad(target)
      return undefined
    },
    begin: (id, work) => {
      options.limits.take(id)
      changeOwnUse(id, work, 1)
    },
    end: (id, work) => changeOwnUse(id, work, -1),
    recordFailure: suspicions.recordFailure,
    recordOutdated: ({ id, startedAt }) => {
      if (startedAt === undefined || outdated.get(id) === startedAt) return
      outdated.set(id, startedAt)
      log.info({ target: id, startedAt }, 'entry of the target is out of date')
    },
    recordSuccess: suspicions.recordSuccess,
    getFarUses: () => {
      const farOwn = new Map<number, TargetUse>()
      const domain = new Map<number, TargetUse>()
      for (const target of targets.all()) {
        const { key, live, batch, ownLive, ownBatch, isFresh } = computeLoad(target)
        const isAnswering = paths.isAnswering(target.address)
        const isAnsweringAny = isAnswering || peerUses.listAnswered(key).size > 0
        if (isFresh && live + batch > 0) domain.set(key, { live, batch, isAnswering: isAnsweringAny })
        if (!isFresh && ownLive + ownBatch > 0) farOwn.set(key, { live: ownLive, batch: ownBatch, isAnswering })
      }
      return { own: farOwn, domain }
    },
    getOwnUses: () => new Map([...ownUses].map(([id, { key, live, batch }]) => (
      [key, { live, batch, isAnswering: isAnswering(id) }]
    ))),
    getOwnSuspects: suspicions.list,
    recordReportedLoad: (id, load) => { reportedSlots.set(id, load.slots) },
    listBatchHolders: (key) => peers()
      .filter(({ report }) => (report.uses.get(key)?.batch ?? 0) > 0)
      .sort((a, b) => b.report.uses.get(key)!.batch - a.report.uses.get(key)!.batch),
    onOwnChange: (listener) => { listeners.push(listener) }
  }
}
