/** Bounded cache of prompt prefixes; its events are published with a delay and with gaps. */
import { LRUCache } from 'lru-cache'
import { hashHex, type Clock } from 'pimentoplank/shared'

/** Size of a block in characters; a prompt has one prefix per complete block. */
export const PREFIX_BLOCK_CHARS = 256
const MAX_EVENTS = 10_000

export interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted'
  /** Hash of the prompt up to the end of a block. */
  prefix: string
}

export interface PrefixCacheOptions {
  /** Capacity of the cache, in blocks. */
  cacheBlocks: number
  /** Delay of cache events, in milliseconds. */
  cacheEventLagMs: number
  /** One in this many events is lost. */
  cacheEventGapEvery: number
}

export interface PrefixCache {
  /**
   * Adds the prefixes of a prompt.
   *
   * @returns number of leading characters that were already cached
   */
  insert: (prompt: string) => number
  getSize: () => number
  clear: () => void
  /** Returns the events after a sequence number that are old enough to be published. */
  getEvents: (after: number) => CacheEvent[]
}

/** Creates an empty cache. */
export function createPrefixCache (clock: Clock, options: PrefixCacheOptions): PrefixCache {
  const events: Array<CacheEvent & { at: number }> = []
  let seq = 0
  const blocks = new LRUCache<string, true>({
    max: options.cacheBlocks,
    dispose: (_, prefix, reason) => { if (reason === 'evict') appendEvent('evicted', prefix) }
  })

  function appendEvent (kind: CacheEvent['kind'], prefix: string): void {
    seq += 1
    if (seq % options.cacheEventGapEvery === 0) return
    events.push({ seq, kind, prefix, at: clock.now() })
    if (events.length > 2 * MAX_EVENTS) events.splice(0, MAX_EVENTS)
  }

  function insertPrompt (prompt: string): number {
    let cachedChars = 0
    let isCached = true
    for (let end = PREFIX_BLOCK_CHARS; end <= prompt.length; end += PREFIX_BLOCK_CHARS) {
      const prefix = hashHex(prompt.slice(0, end))
      isCached &&= blocks.get(prefix) === true
      if (isCached) cachedChars = end
      else if (!blocks.has(prefix)) {
        blocks.set(prefix, true)
        appendEvent('stored', prefix)
      }
    }
    return cachedChars
  }

  function readEvents (after: number): CacheEvent[] {
    const publishedUntil = clock.now() - options.cacheEventLagMs
    return events
      .filter((event) => event.seq > after && event.at <= publishedUntil)
      .map(({ seq, kind, prefix }) => ({ seq, kind, prefix }))
  }

  return { insert: insertPrompt, getSize: () => blocks.size, clear: () => blocks.clear(), getEvents: readEvents }
}
