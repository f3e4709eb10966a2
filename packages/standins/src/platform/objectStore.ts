/** Objects of the platform stand-in: revisions, ordered names, and the events that watches read. */
import type { ObjectPage, StoredObject, WatchBatch, WatchEvent } from 'pimentoplank/shared'

const DEFAULT_HISTORY_EVENTS = 20_000
const DEFAULT_PAGE_ITEMS = 500
const MAX_PAGE_ITEMS = 1000
const MAX_PAGE_BYTES = 8 * 1024 * 1024
const MAX_BATCH_EVENTS = 1000

export interface ObjectStoreOptions {
  /** Events kept for watches, for each kind. */
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
  /** Names in order. */
  names: string[]
  events: WatchEvent[]
  /** Events up to this revision are gone. */
  compactedThrough: number
  listeners: Set<() => void>
}

/** What reads are answered from: the store itself, or a copy of it. */
export interface ObjectReads {
  revision: () => number
  get: (kind: string, name: string) => StoredObject | null
  page: (kind: string, req: PageRequest) => ObjectPage
  eventsAfter: (kind: string, since: number, prefix: string) => WatchBatch
}

export interface ObjectStore extends ObjectReads {
  put: (kind: string, name: string, req: PutRequest, bytes: number) => WriteOutcome
  remove: (kind: string, name: string, ifRevision?: number) => WriteOutcome
  all: (kind: string) => StoredObject[]
  /** Calls the listener after each change of a kind; returns the way to stop. */
  onChange: (kind: string, listener: () => void) => () => void
  /** Wakes every watch without a change. */
  wakeAll: () => void
  /** Forgets every event so far. */
  compact: () => void
  /** Copies the current state; later writes do not show in the copy. */
  copy: () => ObjectReads
}

/** Creates an empty store. */
export function createObjectStore (options: ObjectStoreOptions = {}): ObjectStore {
  const historyEvents = options.historyEvents ?? DEFAULT_HISTORY_EVENTS
  const kinds = new Map<string, KindState>()
  let revision = 0
  let compactedThrough = 0

  function kindState (kind: string): KindState {
    const known = kinds.get(kind)
    if (known !== undefined) return known
    const created = createKindState(compactedThrough)
    kinds.set(kind, created)
    return created
  }

  function note (state: KindState, event: WatchEvent): void {
    state.events.push(event)
    // Trimming half at a time keeps the cost of each write constant.
    if (state.events.length > 2 * historyEvents) {
      const dropped = state.events.splice(0, state.events.length - historyEvents)
      state.compactedThrough = dropped.at(-1)!.revision
    }
    for (const listener of [...state.listeners]) listener()
  }

  function put (kind: string, name: string, req: PutRequest, bytes: number): WriteOutcome {
    const state = kindState(kind)
    const current = state.entries.get(name)?.object ?? null
    if (req.ifRevision !== undefined && req.ifRevision !== (current?.revision ?? 0)) return { type: 'conflict', current }
    revision += 1
    const object: StoredObject = { kind, name, revision, writeId: req.writeId, value: req.value }
    state.entries.set(name, { object, bytes })
    if (current === null) insertName(state.names, name)
    note(state, { type: 'put', name, revision, object })
    return { type: 'done', revision }
  }

  function remove (kind: string, name: string, ifRevision?: number): WriteOutcome {
    const state = kindState(kind)
    const current = state.entries.get(name)?.object
    if (current === undefined) return { type: 'notFound' }
    if (ifRevision !== undefined && ifRevision !== current.revision) return { type: 'conflict', current }
    revision += 1
    state.entries.delete(name)
    state.names.splice(firstIndexFrom(state.names, name), 1)
    note(state, { type: 'remove', name, revision })
    return { type: 'done', revision }
  }

  function onChange (kind: string, listener: () => void): () => void {
    const { listeners } = kindState(kind)
    listeners.add(listener)
    return () => listeners.delete(listener)
  }

  function wakeAll (): void {
    for (const state of kinds.values()) for (const listener of [...state.listeners]) listener()
  }

  function compact (): void {
    compactedThrough = revision
    for (const state of kinds.values()) {
      state.events = []
      state.compactedThrough = revision
    }
  }

  function copy (): ObjectReads {
    const copied = new Map([...kinds].map(([kind, state]) => [kind, copyKindState(state)]))
    const copiedRevision = revision
    const empty = createKindState(compactedThrough)
    return createReads((kind) => copied.get(kind) ?? empty, () => copiedRevision)
  }

  return {
    ...createReads(kindState, () => revision),
    put,
    remove,
    all: (kind) => kindState(kind).names.map((name) => kindState(kind).entries.get(name)!.object),
    onChange,
    wakeAll,
    compact,
    copy
  }
}

function createKindState (compactedThrough: number): KindState {
  return { entries: new Map(), names: [], events: [], compactedThrough, listeners: new Set() }
}

function copyKindState (state: KindState): KindState {
  return { ...state, entries: new Map(state.entries), names: [...state.names], events: [...state.events] }
}

function createReads (kindState: (kind: string) => KindState, revision: () => number): ObjectReads {
  function page (kind: string, req: PageRequest): ObjectPage {
    const { names, entries } = kindState(kind)
    const prefix = req.prefix ?? ''
    const limit = Math.min(Math.max(1, req.limit ?? DEFAULT_PAGE_ITEMS), MAX_PAGE_ITEMS)
    const items: StoredObject[] = []
    let bytes = 0
    for (let index = startIndex(names, prefix, req.after); index < names.length; index++) {
      const name = names[index]!
      if (!name.startsWith(prefix)) break
      const entry = entries.get(name)!
      const isFull = items.length >= limit || (items.length > 0 && bytes + entry.bytes > MAX_PAGE_BYTES)
      if (isFull) return { revision: revision(), items, next: items.at(-1)!.name }
      items.push(entry.object)
      bytes += entry.bytes
    }
    return { revision: revision(), items }
  }

  function eventsAfter (kind: string, since: number, prefix: string): WatchBatch {
    const { events, compactedThrough } = kindState(kind)
    if (since < compactedThrough) return { revision: revision(), events: [], compacted: true }
    const found: WatchEvent[] = []
    for (let index = firstEventAfter(events, since); index < events.length; index++) {
      const event = events[index]!
      if (!event.name.startsWith(prefix)) continue
      found.push(event)
      if (found.length >= MAX_BATCH_EVENTS) return { revision: event.revision, events: found }
    }
    return { revision: Math.max(since, revision()), events: found }
  }

  return {
    revision,
    get: (kind, name) => kindState(kind).entries.get(name)?.object ?? null,
    page,
    eventsAfter
  }
}

function startIndex (names: readonly string[], prefix: string, after: string | undefined): number {
  const fromPrefix = firstIndexFrom(names, prefix)
  if (after === undefined) return fromPrefix
  const fromAfter = firstIndexFrom(names, after)
  const next = names[fromAfter] === after ? fromAfter + 1 : fromAfter
  return Math.max(fromPrefix, next)
}

function insertName (names: string[], name: string): void {
  if (names.length === 0 || names.at(-1)! < name) names.push(name)
  else names.splice(firstIndexFrom(names, name), 0, name)
}

/** Index of the first name that is not before the given one. */
function firstIndexFrom (names: readonly string[], name: string): number {
  return firstIndexWhere(names.length, (index) => names[index]! >= name)
}

function firstEventAfter (events: readonly WatchEvent[], since: number): number {
  return firstIndexWhere(events.length, (index) => events[index]!.revision > since)
}

/** Binary search: first index for which the test holds, given that it holds for all later ones too. */
function firstIndexWhere (length: number, test: (index: number) => boolean): number {
  let low = 0
  let high = length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (test(middle)) high = middle
    else low = middle + 1
  }
  return low
}
