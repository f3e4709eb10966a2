/** What is in use at each target, by this instance and by its peers. */
import { hash32, type Clock } from '../../shared'
import type { PeerView, TargetUse } from '../gossip'
import type { ReportedLoad, Target } from '../model'
import type { TargetDirectory } from '../targets'

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
  /** True when this instance or a peer found it silent or unreachable a short while ago. */
  isSuspect: boolean
}

export interface LoadViewOptions {
  targets: TargetDirectory
  peers: () => readonly PeerView[]
  clock: Clock
  /** How long a target stays suspect, in milliseconds. */
  suspectMs: number
}

export interface LoadView {
  /** Loads of the targets of a service that may get requests. */
  loads: (service: string) => TargetLoad[]
  /** Load of one target; undefined when it is not known. */
  loadOf: (targetId: string) => TargetLoad | undefined
  /** Notes that this instance sent work to a target. */
  begin: (targetId: string, work: WorkClass) => void
  end: (targetId: string, work: WorkClass) => void
  /** Notes that a target was found silent or unreachable. */
  suspect: (targetId: string) => void
  /** Notes that a target answered. */
  clear: (targetId: string) => void
  isSuspect: (targetId: string) => boolean
  ownUses: () => ReadonlyMap<number, TargetUse>
  ownSuspects: () => ReadonlySet<number>
  /** Notes what a target said of its load. */
  noteReported: (targetId: string, load: ReportedLoad) => void
  /** Peers with batch items at a target, those with most first. */
  batchHolders: (key: number) => PeerView[]
  /** Calls the listener when this instance's use changes. */
  onOwnChange: (listener: (change: 'more' | 'less') => void) => void
}

interface OwnUse extends TargetUse {
  key: number
}

/** Creates the view. */
export function createLoadView (options: LoadViewOptions): LoadView {
  const { targets, peers, clock, suspectMs } = options
  const own = new Map<string, OwnUse>()
  const suspectUntil = new Map<string, number>()
  const keys = new Map<string, number>()
  const slots = new Map<string, number>()
  const listeners: Array<(change: 'more' | 'less') => void> = []

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
    listeners.forEach((listener) => listener(by > 0 ? 'more' : 'less'))
  }

  function isSuspect (id: string): boolean {
    return (suspectUntil.get(id) ?? 0) > clock.now()
  }

  function loadOf (target: Target, heard: readonly PeerView[]): TargetLoad {
    const key = keyOf(target.id)
    const mine = own.get(target.id)
    const load: TargetLoad = {
      target: { ...target, slots: slots.get(target.id) ?? target.slots },
      key,
      live: mine?.live ?? 0,
      batch: mine?.batch ?? 0,
      ownLive: mine?.live ?? 0,
      ownBatch: mine?.batch ?? 0,
      isSuspect: isSuspect(target.id)
    }
    for (const { report } of heard) {
      const use = report.uses.get(key)
      load.live += use?.live ?? 0
      load.batch += use?.batch ?? 0
      load.isSuspect ||= report.suspects.has(key)
    }
    return load
  }

  return {
    loads: (service) => {
      const heard = peers()
      return targets.usable(service).map((target) => loadOf(target, heard))
    },
    loadOf: (id) => {
      const target = targets.get(id)
      return target === undefined ? undefined : loadOf(target, peers())
    },
    begin: (id, work) => change(id, work, 1),
    end: (id, work) => change(id, work, -1),
    suspect: (id) => { suspectUntil.set(id, clock.now() + suspectMs) },
    clear: (id) => { suspectUntil.delete(id) },
    isSuspect,
    ownUses: () => new Map([...own.values()].map(({ key, live, batch }) => [key, { live, batch }])),
    ownSuspects: () => {
      const now = clock.now()
      for (const [id, until] of suspectUntil) if (until <= now) suspectUntil.delete(id)
      return new Set([...suspectUntil.keys()].map(keyOf))
    },
    noteReported: (id, load) => { slots.set(id, load.slots) },
    batchHolders: (key) => peers()
      .filter(({ report }) => (report.uses.get(key)?.batch ?? 0) > 0)
      .sort((a, b) => b.report.uses.get(key)!.batch - a.report.uses.get(key)!.batch),
    onOwnChange: (listener) => { listeners.push(listener) }
  }
}
