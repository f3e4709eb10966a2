/** Newest known objects of one kind, with the rules that keep them from going backwards. */
import type { StoredObject, WatchEvent } from '../platform'

/** Removals that are remembered for peers that lag behind. */
const MAX_TOMBSTONES = 2000
/** Cursor of a kind that was never read. */
export const NOTHING_KNOWN = -1

/** Changes of a kind after a cursor, or all of it. */
export interface KindChanges {
  /** Store revision that the receiver has reached after these. */
  revision: number
  full: boolean
  events: WatchEvent[]
}

export interface KindState {
  objects: ReadonlyMap<string, StoredObject>
  /** Store revision up to which every change is known; `NOTHING_KNOWN` before the first read. */
  cursor: () => number
  /** Takes in one object without moving the cursor. Returns the event, or undefined when it is known already. */
  offer: (object: StoredObject) => WatchEvent | undefined
  /** Takes in changes; returns the events that were new, or undefined when all of it is older than what is known. */
  merge: (changes: KindChanges) => WatchEvent[] | undefined
  /** Changes after a cursor, up to this state's own. */
  changesSince: (cursor: number) => KindChanges
}

/**
 * Creates the state of a kind.
 *
 * @param kind - kind of the objects
 * @param options - most removals to remember
 */
export function createKindState (kind: string, options: { maxTombstones?: number } = {}): KindState {
  const maxTombstones = options.maxTombstones ?? MAX_TOMBSTONES
  const objects = new Map<string, StoredObject>()
  /** Revision of each removal, oldest first. */
  const tombstones = new Map<string, number>()
  let cursor = NOTHING_KNOWN
  /** Removals up to this revision are forgotten. */
  let floor = 0

  function isNews (event: WatchEvent): boolean {
    const known = objects.get(event.name)?.revision ?? tombstones.get(event.name)
    if (known !== undefined) return event.revision > known
    // A name that is unknown below the cursor was removed before.
    return event.revision > cursor
  }

  function apply (event: WatchEvent): void {
    tombstones.delete(event.name)
    if (event.object !== undefined) {
      objects.set(event.name, event.object)
      return
    }
    objects.delete(event.name)
    tombstones.set(event.name, event.revision)
    if (tombstones.size > maxTombstones) dropOldestTombstone()
  }

  function dropOldestTombstone (): void {
    const [oldest] = tombstones
    if (oldest === undefined) return
    tombstones.delete(oldest[0])
    floor = Math.max(floor, oldest[1])
  }

  function mergeDelta (changes: KindChanges): WatchEvent[] {
    const news = changes.events.filter(isNews)
    news.forEach(apply)
    cursor = Math.max(cursor, changes.revision)
    return news
  }

  function mergeFull (changes: KindChanges): WatchEvent[] | undefined {
    if (changes.revision < cursor) return undefined
    const present = new Set(changes.events.map((event) => event.name))
    const removed = [...objects.values()]
      .filter((object) => !present.has(object.name) && object.revision <= changes.revision)
      .map(({ name }): WatchEvent => ({ type: 'remove', name, revision: changes.revision }))
    const put = changes.events.filter((event) => event.revision > knownRevision(event.name))
    const news = [...put, ...removed]
    news.forEach(apply)
    // Removals between the old cursor and this set were never seen one by one.
    if (changes.revision > cursor) floor = changes.revision
    cursor = changes.revision
    return news
  }

  function knownRevision (name: string): number {
    return objects.get(name)?.revision ?? tombstones.get(name) ?? 0
  }

  function listEvents (after: number): WatchEvent[] {
    const events: WatchEvent[] = []
    for (const object of objects.values()) {
      if (object.revision <= after || object.revision > cursor) continue
      events.push({ type: 'put', name: object.name, revision: object.revision, object })
    }
    for (const [name, revision] of tombstones) {
      if (revision > after && revision <= cursor) events.push({ type: 'remove', name, revision })
    }
    return events.sort((a, b) => a.revision - b.revision)
  }

  return {
    objects,
    cursor: () => cursor,
    offer: (object) => {
      const event: WatchEvent = { type: 'put', name: object.name, revision: object.revision, object }
      if (object.kind !== kind || !isNews(event)) return undefined
      apply(event)
      return event
    },
    merge: (changes) => changes.full ? mergeFull(changes) : mergeDelta(changes),
    changesSince: (after) => {
      const full = after < floor || after === NOTHING_KNOWN
      const events = listEvents(full ? NOTHING_KNOWN : after)
      return { revision: cursor, full, events: full ? events.filter((event) => event.type === 'put') : events }
    }
  }
}
