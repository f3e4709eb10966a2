/** Targets that may get requests, from the entries that they keep in the platform. */
import type { Clock, Log, ObjectFeed, WatchEvent } from '../../shared'
import type { Target } from '../model'

export interface TargetDirectoryOptions {
  feed: Pick<ObjectFeed, 'objects' | 'subscribe'>
  /** Kind of the entries. */
  kind: string
  /**
   * Reads an entry; undefined for one that names no target, such as one of another writer.
   *
   * @param id - name of the entry
   * @param value - content of the entry
   */
  decode: (id: string, value: unknown) => Target | undefined
  /** How long a target whose entry is gone may still be used where too few others are left, in milliseconds. */
  removalGraceMs: number
  clock: Clock
  log: Log
}

export interface TargetDirectory {
  /** Targets of a service that may get new requests. */
  usable: (service: string) => readonly Target[]
  /** A target by id, leaving ones included; undefined when its entry is gone. */
  get: (id: string) => Target | undefined
  /** True when an entry for the target is there, or was a short while ago, and does not say that it leaves. */
  mayUse: (id: string) => boolean
  all: () => Iterable<Target>
  onChange: (listener: () => void) => void
}

interface Removed {
  target: Target
  at: number
}

/** Entries that are removed together with more than this share of a service are taken for a lapse of all of them. */
const LAPSE_SHARE = 0.5

/** Follows the entries. */
export function createTargetDirectory (options: TargetDirectoryOptions): TargetDirectory {
  const { feed, kind, decode, removalGraceMs, clock, log } = options
  const targets = new Map<string, Target>()
  const removed = new Map<string, Removed>()
  const listeners: Array<() => void> = []

  function apply (event: WatchEvent): void {
    const before = targets.get(event.name)
    const after = event.object === undefined ? undefined : decode(event.name, event.object.value)
    if (after === undefined) {
      if (event.object !== undefined) log.warn({ target: event.name, revision: event.revision }, 'entry names no target')
      remove(event.name, before)
    } else {
      targets.set(event.name, after)
      removed.delete(event.name)
    }
    if (before?.state !== after?.state) {
      log.info({ target: event.name, from: before?.state, to: after?.state ?? 'gone', revision: event.revision }, 'target changed')
    }
    listeners.forEach((listener) => listener())
  }

  function remove (id: string, before: Target | undefined): void {
    targets.delete(id)
    if (before?.state === 'ready') removed.set(id, { target: before, at: clock.now() })
  }

  function recentlyRemoved (service: string): Target[] {
    const since = clock.now() - removalGraceMs
    for (const [id, { at }] of removed) {
      if (at < since) removed.delete(id)
    }
    return [...removed.values()].map(({ target }) => target).filter((target) => target.service === service)
  }

  function usable (service: string): readonly Target[] {
    const ready = [...targets.values()].filter((target) => target.service === service && target.state === 'ready')
    if (removed.size === 0) return ready
    const lapsed = recentlyRemoved(service)
    return lapsed.length > LAPSE_SHARE * (ready.length + lapsed.length) ? [...ready, ...lapsed] : ready
  }

  for (const object of feed.objects(kind).values()) {
    apply({ type: 'put', name: object.name, revision: object.revision, object })
  }
  feed.subscribe(kind, apply)

  return {
    usable,
    get: (id) => targets.get(id),
    mayUse: (id) => {
      const target = targets.get(id) ?? removed.get(id)?.target
      return target !== undefined && usable(target.service).includes(target)
    },
    all: () => targets.values(),
    onChange: (listener) => { listeners.push(listener) }
  }
}
