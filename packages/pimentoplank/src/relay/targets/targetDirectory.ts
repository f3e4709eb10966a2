/** Service discovery: tracks the targets that are registered in the platform's object store. */
import { hash32, type Clock, type Log, type ObjectFeed, type WatchEvent } from '../../shared'
import type { LeavingNotice } from '../gossip'
import type { Target } from '../model'
import { createLeavingTargets } from './leavingTargets'
import { createVersionTracker } from './versionHistory'

export interface TargetDirectoryOptions {
  feed: Pick<ObjectFeed, 'objects' | 'subscribe'>
  /** Object kind of the registrations. */
  kind: string
  /**
   * Decodes a registration; undefined when it describes no target, such as an object of another writer.
   *
   * @param id - object name, which is the target's id
   * @param value - object content
   */
  decode: (id: string, value: unknown) => Target | undefined
  /** How long removed targets stay in use after a mass removal of registrations, in milliseconds. */
  removalGraceMs: number
  /** How long targets that have said that they leave stay in use where no others are left, in milliseconds. */
  leavingGraceMs: number
  clock: Clock
  log: Log
}

export interface TargetDirectory {
  /** Lists the targets of a service that may receive new requests. */
  getUsable: (service: string) => readonly Target[]
  /**
   * Lists targets of a service that have said a short while ago that they leave, and still answer what is sent now. A
   * target whose entry says so is not among them: the entry may have been late.
   */
  getLeaving: (service: string) => readonly Target[]
  /**
   * Records that a process of a target has said that it leaves; its entry doesn't undo that.
   *
   * @param startedAt - when the process started, by its own clock; undefined if its entry does not tell
   * @returns true if this was not known
   */
  recordLeaving: (id: string, startedAt: number | undefined) => boolean
  /** Merges which processes have told peers that they leave. */
  mergeLeaving: (notices: readonly LeavingNotice[]) => void
  /** Returns which processes of targets leave, for reports. */
  getLeavingNotices: () => LeavingNotice[]
  /** Finds a registered target by id, including leaving ones; undefined when it is not registered. */
  get: (id: string) => Target | undefined
  /** True when the target may receive new requests. */
  isUsable: (id: string) => boolean
  /** True when a registered target, or one that was removed a short while ago, has the address. */
  hasAddress: (address: string) => boolean
  /** Lists all registered targets, including leaving ones. */
  all: () => Iterable<Target>
  /** Calls the listener after each change of a registration. */
  onChange: (listener: () => void) => void
  /** Returns when each software version of a service was last registered; infinite while it is. */
  getVersions: (service: string) => ReadonlyMap<string, number>
  /** Calls the listener with a target whose entry now describes another process than before. */
  onProcessChange: (listener: (target: Target) => void) => void
}

interface RemovedTarget {
  target: Target
  at: number
}

/**
 * When more than this share of a service's targets is removed within the grace period, the registrations are assumed to
 * have expired together while the targets still run, and these stay in use.
 */
const MASS_REMOVAL_SHARE = 0.5

/** Creates the directory and subscribes it to the registrations. */
export function createTargetDirectory (options: TargetDirectoryOptions): TargetDirectory {
  const { feed, kind, decode, removalGraceMs, leavingGraceMs, clock, log } = options
  const targets = new Map<string, Target>()
  const idsByKey = new Map<number, string>()
  const removed = new Map<string, RemovedTarget>()
  const leaving = createLeavingTargets({
    findByKey: (key) => targets.get(idsByKey.get(key) ?? ''), clock, log
  })
  const versions = createVersionTracker(clock)
  const listeners: Array<() => void> = []
  const processListeners: Array<(target: Target) => void> = []

  function apply (event: WatchEvent): void {
    const before = targets.get(event.name)
    const after = event.object === undefined ? undefined : decode(event.name, event.object.value)
    if (after === undefined) {
      if (event.object !== undefined) log.warn({ target: event.name, revision: event.revision }, 'invalid target entry')
      remove(event.name, before)
    } else {
      targets.set(event.name, after)
      idsByKey.set(hash32(event.name), event.name)
      removed.delete(event.name)
    }
    if (versions.record(before, after)) {
      log.info({ target: event.name, version: after?.version, revision: event.revision }, 'target has another version')
    }
    if (after !== undefined && after.startedAt !== before?.startedAt) {
      if (leaving.getSince(after) !== undefined) {
        log.info({ target: after.id, startedAt: after.startedAt, source: 'heard' }, 'target leaves')
      }
      processListeners.forEach((listener) => listener(after))
    }
    if (before?.state !== after?.state) {
      log.info({
        target: event.name, from: before?.state, to: after?.state ?? 'gone', revision: event.revision
      }, 'target changed')
    }
    listeners.forEach((listener) => listener())
  }

  function remove (id: string, before: Target | undefined): void {
    targets.delete(id)
    idsByKey.delete(hash32(id))
    if (before?.state === 'ready') removed.set(id, { target: before, at: clock.now() })
  }

  function getRecentlyRemoved (service: string): Target[] {
    const since = clock.now() - removalGraceMs
    for (const [id, { at }] of removed) {
      if (at < since) removed.delete(id)
    }
    return [...removed.values()].map(({ target }) => target)
      .filter((target) => target.service === service && leaving.getSince(target) === undefined)
  }

  function getLeavingTargets (service: string): Target[] {
    const since = clock.now() - leavingGraceMs
    return [...targets.values()].filter((target) => (
      target.service === service && target.state === 'ready' && (leaving.getSince(target) ?? -Infinity) >= since
    ))
  }

  function recordLeaving (id: string, startedAt: number | undefined): boolean {
    const isNew = leaving.record(id, startedAt)
    if (isNew) listeners.forEach((listener) => listener())
    return isNew
  }

  function getUsableTargets (service: string): readonly Target[] {
    const ready = [...targets.values()].filter((target) => (
      target.service === service && target.state === 'ready' && leaving.getSince(target) === undefined
    ))
    if (removed.size === 0) return ready
    const recent = getRecentlyRemoved(service)
    return recent.length > MASS_REMOVAL_SHARE * (ready.length + recent.length) ? [...ready, ...recent] : ready
  }

  for (const object of feed.objects(kind).values()) {
    apply({ type: 'put', name: object.name, revision: object.revision, object })
  }
  feed.subscribe(kind, apply)

  return {
    getUsable: getUsableTargets,
    getLeaving: getLeavingTargets,
    recordLeaving,
    mergeLeaving: leaving.merge,
    getLeavingNotices: leaving.getNotices,
    get: (id) => targets.get(id),
    isUsable: (id) => {
      const target = targets.get(id) ?? removed.get(id)?.target
      return target !== undefined && getUsableTargets(target.service).includes(target)
    },
    hasAddress: (address) => {
      const since = clock.now() - removalGraceMs
      const recent = [...removed.values()].filter(({ at }) => at >= since).map(({ target }) => target)
      return [...targets.values(), ...recent].some((target) => target.address === address)
    },
    all: () => targets.values(),
    onChange: (listener) => { listeners.push(listener) },
    getVersions: versions.getLastTimes,
    onProcessChange: (listener) => { processListeners.push(listener) }
  }
}
