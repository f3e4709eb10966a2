/** Object store of the platform stand-in: revisions, ordered names, and the event history for watches. */
import type { ObjectPage, StoredObject, WatchBatch, WatchEvent } from 'pimentoplank/shared'

const DEFAULT_HISTORY_EVENTS = 20_000
const DEFAULT_PAGE_ITEMS = 500
const MAX_PAGE_ITEMS = 1000
const MAX_PAGE_BYTES = 8 * 1024 * 1024
const MAX_BATCH_EVENTS = 1000

export interface ObjectStoreOptions {
  /** Number of events kept for watches, per kind. */
  historyEvents?: number
}

export interface PutRequest {
  value: unknown
  writeId: string
  ifRevision?: number
}

export type WriteOutcome =
  | { type: 'done', revision: number }
  | { type: 'conflict', current: StoredObject | null }
  | { type: 'notFound' }

export interface PageRequest {
  prefix?: string
  limit?: number
  after?: string
}

interface StoredEntry {
  object: StoredObject
  bytes: number
}

interface KindState {
  entries: Map<string, StoredEntry>
  /** Names in ascending order. */
  names: string[]
  events: WatchEvent[]
  /** Events up to this revision were removed. */
  compactedThrough: number
  listeners: Set<() => void>
}

/** Read access to the store itself, or to a snapshot of it. */
export interface ObjectReader {
  getRevision: () => number
  get: (kind: string, name: string) => StoredObject | null
  getPage: (kind: string, req: PageRequest) => ObjectPage
  getEventsAfter: (kind: string, since: number, prefix: string) => WatchBatch
}

export interface ObjectStore extends ObjectReader {
  put: (kind: string, name: string, req: PutRequest, bytes: number) => WriteOutcome
  remove: (kind: string, name: string, ifRevision?: number) => WriteOutcome
  getAll: (kind: string) => StoredObject[]
  /** Calls the listener after each change of a kind; returns a function that unsubscribes it. */
  onChange: (kind: string, listener: () => void) => () => void
  /** Notifies every listener without a change, so that waiting watches check their conditions again. */
  notifyAll: () => void
  /** Discards the event history. */
  compact: () => void
  /** Takes a snapshot of the current state, which later writes do not affect. */
  createSnapshot: () => ObjectReader
}

/** Creates an empty store. */
export function createObjectStore (options: ObjectStoreOptions = {}): ObjectStore {
  const historyEvents = options.historyEvents ?? DEFAULT_HISTORY_EVENTS
  const kinds = new Map<string, KindState>()
  let revision = 0
  let compactedThrough = 0

  function getKindState (kind: string): KindState {
    const known = kinds.get(kind)
    if (known !== undefined) return known
    const created = createKindState(compactedThrough)
    kinds.set(kind, created)
    return created
  }

  function appendEvent (state: KindState, event: WatchEvent): void {
    state.events.push(event)
    // Trimming only at twice the limit keeps the amortized cost of a write constant.
    if (state.events.length > 2 * historyEvents) {
      const dropped = state.events.splice(0, state.events.length - historyEvents)
      state.compactedThrough = dropped.at(-1)!.revision
    }
    for (const listener of [...state.listeners]) listener()
  }

  function put (kind: string, name: string, req: PutRequest, bytes: number): WriteOutcome {
    const state = getKindState(kind)
    const current = state.entries.get(name)?.object ?? null
    if (req.ifRevision !== undefined && req.ifRevision !== (current?.revision ?? 0)) return { type: 'conflict', current }
    revision += 1
    const object: StoredObject = { kind, name, revision, writeId: req.writeId, value: req.value }
    state.entries.set(name, { object, bytes })
    if (current === null) insertName(state.names, name)
    appendEvent(state, { type: 'put', name, revision, object })
    return { type: 'done', revision }
  }

  function remove (kind: string, name: string, ifRevision?: number): WriteOutcome {
    const state = getKindState(kind)
    const current = state.entries.get(name)?.object
    if (current === undefined) return { type: 'notFound' }
    if (ifRevision !== undefined && ifRevision !== current.revision) return { type: 'conflict', current }
    revision += 1
    state.entries.delete(name)
    state.names.splice(findNameIndex(state.names, name), 1)
    appendEvent(state, { type: 'remove', name, revision })
    return { type: 'done', revision }
  }

  function onChange (kind: string, listener: () => void): () => void {
    const { listeners } = getKindState(kind)
    listeners.add(listener)
    return () => listeners.delete(listener)
  }

  function notifyListeners (): void {
    for (const state of kinds.values()) for (const listener of [...state.listeners]) listener()
  }

  function compact (): void {
    compactedThrough = revision
    for (const state of kinds.values()) {
      state.events = []
      state.compactedThrough = revision
    }
  }

  function takeSnapshot (): ObjectReader {
    const copied = new Map([...kinds].map(([kind, state]) => [kind, copyKindState(state)]))
    const copiedRevision = revision
    const empty = createKindState(compactedThrough)
    return createReader((kind) => copied.get(kind) ?? empty, () => copiedRevision)
  }

  return {
    ...createReader(getKindState, () => revision),
    put,
    remove,
    getAll: (kind) => getKindState(kind).names.map((name) => getKindState(kind).entries.get(name)!.object),
    onChange,
    notifyAll: notifyListeners,
    compact,
    createSnapshot: takeSnapshot
  }
}

function createKindState (compactedThrough: number): KindState {
  return { entries: new Map(), names: [], events: [], compactedThrough, listeners: new Set() }
}

function copyKindState (state: KindState): KindState {
  return { ...state, entries: new Map(state.entries), names: [...state.names], events: [...state.events] }
}

function createReader (getKindState: (kind: string) => KindState, readRevision: () => number): ObjectReader {
  function readPage (kind: string, req: PageRequest): ObjectPage {
    const { names, entries } = getKindState(kind)
    const prefix = req.prefix ?? ''
    const limit = Math.min(Math.max(1, req.limit ?? DEFAULT_PAGE_ITEMS), MAX_PAGE_ITEMS)
    const items: StoredObject[] = []
    let bytes = 0
    for (let index = findPageStart(names, prefix, req.after); index < names.length; index++) {
      const name = names[index]!
      if (!name.startsWith(prefix)) break
      const entry = entries.get(name)!
      const isFull = items.length >= limit || (items.length > 0 && bytes + entry.bytes > MAX_PAGE_BYTES)
      if (isFull) return { revision: readRevision(), items, next: items.at(-1)!.name }
      items.push(entry.object)
      bytes += entry.bytes
    }
    return { revision: readRevision(), items }
  }

  function readEventsAfter (kind: string, since: number, prefix: string): WatchBatch {
    const { events, compactedThrough } = getKindState(kind)
    if (since < compactedThrough) return { revision: readRevision(), events: [], compacted: true }
    const found: WatchEvent[] = []
    for (let index = findEventIndexAfter(events, since); index < events.length; index++) {
      const event = events[index]!
      if (!event.name.startsWith(prefix)) continue
      found.push(event)
      if (found.length >= MAX_BATCH_EVENTS) return { revision: event.revision, events: found }
    }
    return { revision: Math.max(since, readRevision()), events: found }
  }

  return {
    getRevision: readRevision,
    get: (kind, name) => getKindState(kind).entries.get(name)?.object ?? null,
    getPage: readPage,
    getEventsAfter: readEventsAfter
  }
}

function findPageStart (names: readonly string[], prefix: string, after: string | undefined): number {
  const fromPrefix = findNameIndex(names, prefix)
  if (after === undefined) return fromPrefix
  const fromAfter = findNameIndex(names, after)
  const next = names[fromAfter] === after ? fromAfter + 1 : fromAfter
  return Math.max(fromPrefix, next)
}

function insertName (names: string[], name: string): void {
  if (names.length === 0 || names.at(-1)! < name) names.push(name)
  else names.splice(findNameIndex(names, name), 0, name)
}

/** Returns the index of the first name that is equal to or after the given one. */
function findNameIndex (names: readonly string[], name: string): number {
  return findFirstIndex(names.length, (index) => names[index]! >= name)
}

function findEventIndexAfter (events: readonly WatchEvent[], since: number): number {
  return findFirstIndex(events.length, (index) => events[index]!.revision > since)
}

/** Finds by binary search the first index that passes the test; all later ones must pass it too. */
function findFirstIndex (length: number, test: (index: number) => boolean): number {
  let low = 0
  let high = length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (test(middle)) high = middle
    else low = middle + 1
  }
  return low
}
