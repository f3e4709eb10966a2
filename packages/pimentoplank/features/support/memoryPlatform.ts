/** In-memory object API of the platform behind the client interface, with faults for single calls. */
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import {
  PlatformConflict, PlatformRejected, PlatformUnavailable,
  type ObjectFeed, type PlatformClient, type PlatformError, type StoredObject, type WatchEvent
} from '../../src/shared'

export type CallFault = 'down' | 'loseAnswer'

export interface MemoryCall {
  operation: 'get' | 'list' | 'put' | 'remove'
  kind: string
  name: string
  client: string
  /** Name after which a page of a list begins. */
  after?: string
}

/** The store at a moment, as a reader that is behind sees it. */
export interface MemorySnapshot {
  revision: number
  objects: StoredObject[]
}

export interface MemoryPlatform {
  /** Creates a client whose calls `faultOf` can identify by its id. */
  client: (id: string) => PlatformClient
  /** Creates a feed without lag; while `isDelivered` returns false it delivers no changes. */
  feed: (isDelivered?: () => boolean) => ObjectFeed
  objects: (kind: string) => StoredObject[]
  calls: MemoryCall[]
  /** Called before each platform call; returns the fault that the call gets. */
  faultOf: (call: MemoryCall) => CallFault | undefined
  /** Called before each platform call; returns what the call waits for before it takes effect. */
  delayOf: (call: MemoryCall) => Promise<void> | undefined
  /** Called after each platform call took effect; returns what its answer waits for. */
  answerDelayOf: (call: MemoryCall) => Promise<void> | undefined
  createSnapshot: () => MemorySnapshot
  /** Size above which a value is refused, in bytes of JSON. */
  maxValueBytes: number
  /** Called for each page of a list; returns the snapshot that it is read from, if not the current state. */
  staleOf: (call: MemoryCall) => MemorySnapshot | undefined
}

/** Creates an empty store. */
export function createMemoryPlatform (): MemoryPlatform {
  const store = new Map<string, StoredObject>()
  const listeners = new Map<string, Set<(event: WatchEvent) => void>>()
  let revision = 0
  let writes = 0

  function list (kind: string, prefix = '', objects: Iterable<StoredObject> = store.values()): StoredObject[] {
    return [...objects]
      .filter((object) => object.kind === kind && object.name.startsWith(prefix))
      .sort((a, b) => a.name < b.name ? -1 : 1)
  }

  function emit (kind: string, event: WatchEvent): void {
    for (const listener of listeners.get(kind) ?? []) listener(event)
  }

  function write (kind: string, name: string, value: unknown, ifRevision: number): PlatformConflict | StoredObject {
    const key = `${kind}/${name}`
    const current = store.get(key) ?? null
    if ((current?.revision ?? 0) !== ifRevision) return new PlatformConflict(current, false)
    const object = { kind, name, revision: ++revision, writeId: `write-${++writes}`, value: structuredClone(value) }
    store.set(key, object)
    emit(kind, { type: 'put', name, revision, object })
    return object
  }

  function client (id: string): PlatformClient {
    function call<Value> (
      operation: MemoryCall['operation'],
      kind: string,
      name: string,
      act: () => PlatformError | Value,
      after?: string
    ): ResultAsync<Value, PlatformError> {
      const made: MemoryCall = { operation, kind, name, client: id, after }
      platform.calls.push(made)
      const delay = platform.delayOf(made)
      if (delay === undefined) return answer(made, act)
      return ResultAsync.fromSafePromise(delay).andThen(() => answer(made, act))
    }

    function answer<Value> (made: MemoryCall, act: () => PlatformError | Value): ResultAsync<Value, PlatformError> {
      const performed = perform(made, act)
      const delay = platform.answerDelayOf(made)
      return delay === undefined ? performed : ResultAsync.fromSafePromise(delay).andThen(() => performed)
    }

    function perform<Value> (made: MemoryCall, act: () => PlatformError | Value): ResultAsync<Value, PlatformError> {
      const fault = platform.faultOf(made)
      if (fault === 'down') return errAsync(new PlatformUnavailable('down'))
      const value = act()
      if (fault === 'loseAnswer') return errAsync(new PlatformUnavailable('answer lost', { maybeApplied: true }))
      return value instanceof Error ? errAsync(value as PlatformError) : okAsync(value)
    }

    return {
      get: (kind, name) => call('get', kind, name, () => structuredClone(store.get(`${kind}/${name}`) ?? null)),
      list: (kind, options = {}) => call('list', kind, options.prefix ?? '', () => {
        const { after } = options
        const seen = platform.staleOf({ operation: 'list', kind, name: options.prefix ?? '', client: id, after })
        const rest = list(kind, options.prefix, seen?.objects).filter((object) => object.name > (after ?? ''))
        const items = structuredClone(rest.slice(0, options.limit))
        const next = items.length < rest.length ? items.at(-1)?.name : undefined
        return { revision: seen?.revision ?? revision, items, next }
      }, options.after),
      listAll: (kind, options = {}) => call('list', kind, options.prefix ?? '', () =>
        ({ revision, items: structuredClone(list(kind, options.prefix)) })),
      put: (kind, name, value, { ifRevision }) => call('put', kind, name, () => {
        const isTooLarge = Buffer.byteLength(JSON.stringify(value)) > platform.maxValueBytes
        return isTooLarge ? new PlatformRejected(413, 'too large') : write(kind, name, value, ifRevision)
      }),
      remove: (kind, name, { ifRevision } = {}) => call('remove', kind, name, () => {
        const current = store.get(`${kind}/${name}`)
        if (current !== undefined && ifRevision !== undefined && current.revision !== ifRevision) {
          return new PlatformConflict(current, false)
        }
        if (store.delete(`${kind}/${name}`)) emit(kind, { type: 'remove', name, revision: ++revision })
      }),
      putStatus: (kind, name) => call('put', kind, name, () => undefined),
      watch: () => okAsync({ revision, events: [] }),
      isAvailable: () => true,
      listInstances: () => okAsync([]),
      close: async () => undefined
    }
  }

  function feed (isDelivered = (): boolean => true): ObjectFeed {
    const seen = new Map<string, Map<string, StoredObject>>()
    return {
      objects: (kind) => {
        const known = seen.get(kind)
        if (known !== undefined && !isDelivered()) return known
        const current = new Map(list(kind).map((object) => [object.name, object]))
        seen.set(kind, current)
        return current
      },
      revision: () => revision,
      subscribe: (kind, listener) => {
        const set = listeners.get(kind) ?? new Set()
        const gated = (event: WatchEvent): void => { if (isDelivered()) listener(event) }
        listeners.set(kind, set.add(gated))
        return () => { set.delete(gated) }
      },
      offer: () => undefined,
      ready: async () => undefined,
      close: async () => undefined
    }
  }

  const platform: MemoryPlatform = {
    client,
    feed,
    objects: (kind) => list(kind),
    calls: [],
    faultOf: () => undefined,
    delayOf: () => undefined,
    answerDelayOf: () => undefined,
    maxValueBytes: Infinity,
    createSnapshot: () => ({ revision, objects: structuredClone([...store.values()]) }),
    staleOf: () => undefined
  }
  return platform
}
