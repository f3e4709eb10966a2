/** Cache of prompt prefixes in limited memory, and its late events with gaps. */
import { LRUCache } from 'lru-cache'
import { hashHex, type Clock } from 'pimentoplank/shared'

/** A prefix ends at each multiple of this many characters. */
export const PREFIX_BLOCK_CHARS = 256
const MAX_EVENTS = 10_000

export interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted'
  /** Hash of the prompt's characters up to the end of a block. */
  prefix: string
}

export interface PrefixCacheOptions {
  /** Blocks that fit into the cache. */
  cacheBlocks: number
  /** Delay of cache events, in milliseconds. */
  cacheEventLagMs: number
  /** Every so many events one is lost. */
  cacheEventGapEvery: number
}

export interface PrefixCache {
  /** Takes a prompt in; returns how many of its first characters were there already. */
  load: (prompt: string) => number
  size: () => number
  clear: () => void
  /** Events after a sequence number that are old enough to be seen. */
  events: (after: number) => CacheEvent[]
}

/** Creates an empty cache. */
export function createPrefixCache (clock: Clock, options: PrefixCacheOptions): PrefixCache {
  const events: Array<CacheEvent & { at: number }> = []
  let seq = 0
  const blocks = new LRUCache<string, true>({
    max: options.cacheBlocks,
    dispose: (_, prefix, reason) => { if (reason === 'evict') note('evicted', prefix) }
  })

  function note (kind: CacheEvent['kind'], prefix: string): void {
    seq += 1
    if (seq % options.cacheEventGapEvery === 0) return
    events.push({ seq, kind, prefix, at: clock.now() })
    if (events.length > 2 * MAX_EVENTS) events.splice(0, MAX_EVENTS)
  }

  function load (prompt: string): number {
    let cachedChars = 0
    let isCached = true
    for (let end = PREFIX_BLOCK_CHARS; end <= prompt.length; end += PREFIX_BLOCK_CHARS) {
      const prefix = hashHex(prompt.slice(0, end))
      isCached &&= blocks.get(prefix) === true
      if (isCached) cachedChars = end
      else if (!blocks.has(prefix)) {
        blocks.set(prefix, true)
        note('stored', prefix)
      }
    }
    return cachedChars
  }

  function readEvents (after: number): CacheEvent[] {
    const seenBefore = clock.now() - options.cacheEventLagMs
    return events
      .filter((event) => event.seq > after && event.at <= seenBefore)
      .map(({ seq, kind, prefix }) => ({ seq, kind, prefix }))
  }

  return { load, size: () => blocks.size, clear: () => blocks.clear(), events: readEvents }
}
