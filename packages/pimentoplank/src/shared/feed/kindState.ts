/** Newest known objects of one kind; its merge rules prevent an object from reverting to an older revision. */
import type { StoredObject, WatchEvent } from '../platform'

/** Tombstones kept for peers that lag behind. */
const MAX_TOMBSTONES = 2000
/** Cursor of a kind that has never been read. */
export const UNREAD_CURSOR = -1

/** Changes of a kind after a cursor, or a full snapshot of it. */
export interface KindChanges {
  /** Store revision that the receiver has reached after applying the events. */
  revision: number
  /** True when the events are a full snapshot. */
  full: boolean
  events: WatchEvent[]
}

export interface KindState {
  objects: ReadonlyMap<string, StoredObject>
  /** Store revision up to which every change is known; `UNREAD_CURSOR` before the first read. */
  getCursor: () => number
  /** Merges one object without moving the cursor. Returns the event, or undefined when it is not newer. */
  offer: (object: StoredObject) => WatchEvent | undefined
  /** Merges changes; returns the new events, or undefined for a full snapshot that is older than the cursor. */
  merge: (changes: KindChanges) => WatchEvent[] | undefined
  /** Returns the changes after a cursor, up to the cursor of this state. */
  getChangesSince: (after: number) => KindChanges
}

/**
 * Creates the state of a kind.
 *
 * @param kind - kind of the objects
 * @param options - `maxTombstones`: number of removals to retain
 */
export function createKindState (kind: string, options: { maxTombstones?: number } = {}): KindState {
  const maxTombstones = options.maxTombstones ?? MAX_TOMBSTONES
  const objects = new Map<string, StoredObject>()
  /** Revision of each removal, oldest first. */
  const tombstones = new Map<string, number>()
  let cursor = UNREAD_CURSOR
  /** Tombstones up to this revision may be missing; a peer with an older cursor gets a full snapshot. */
  let oldestDeltaCursor = 0

  function isNewer (event: WatchEvent): boolean {
    const known = objects.get(event.name)?.revision ?? tombstones.get(event.name)
    if (known !== undefined) return event.revision > known
    // An unknown name at a revision up to the cursor was removed, and its tombstone dropped.
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
    oldestDeltaCursor = Math.max(oldestDeltaCursor, oldest[1])
  }

  function mergeDelta (changes: KindChanges): WatchEvent[] {
    const newEvents = changes.events.filter(isNewer)
    newEvents.forEach(apply)
    cursor = Math.max(cursor, changes.revision)
    return newEvents
  }

  function mergeFull (changes: KindChanges): WatchEvent[] | undefined {
    if (changes.revision < cursor) return undefined
    const present = new Set(changes.events.map((event) => event.name))
    const removed = [...objects.values()]
      .filter((object) => !present.has(object.name) && object.revision <= changes.revision)
      .map(({ name }): WatchEvent => ({ type: 'remove', name, revision: changes.revision }))
    const put = changes.events.filter((event) => event.revision > getKnownRevision(event.name))
    const newEvents = [...put, ...removed]
    newEvents.forEach(apply)
    // The removals between the old cursor and this snapshot were not received one by one.
    if (changes.revision > cursor) oldestDeltaCursor = changes.revision
    cursor = changes.revision
    return newEvents
  }

  function getKnownRevision (name: string): number {
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
    getCursor: () => cursor,
    offer: (object) => {
      const event: WatchEvent = { type: 'put', name: object.name, revision: object.revision, object }
      if (object.kind !== kind || !isNewer(event)) return undefined
      apply(event)
      return event
    },
    merge: (changes) => changes.full ? mergeFull(changes) : mergeDelta(changes),
    getChangesSince: (after) => {
      const full = after < oldestDeltaCursor || after === UNREAD_CURSOR
      const events = listEvents(full ? UNREAD_CURSOR : after)
      return { revision: cursor, full, events: full ? events.filter((event) => event.type === 'put') : events }
    }
  }
}
