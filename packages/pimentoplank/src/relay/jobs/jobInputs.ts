/** Reads the input of jobs from the platform. Input is immutable, so some of it is cached. */
import { LRUCache } from 'lru-cache'
import { ok, type Result } from 'neverthrow'
import { describeCause, type Log, type PlatformError } from '../../shared'
import type { JobStore } from './jobStore'
import { countChars, MAX_CACHED_CHARS } from './objectSize'
import type { JobItem } from './records'

export interface JobInputs {
  /** Reads the items of a job; undefined while any part of its input is missing. Calls for one job share a read. */
  read: (job: string) => Promise<Result<readonly JobItem[] | undefined, PlatformError>>
  /** Reads the body of an item; a failure is logged, and the result is undefined then. */
  readBody: (job: string, item: string) => Promise<string | undefined>
}

export interface JobInputsOptions {
  store: Pick<JobStore, 'readItems'>
  /** Maximum number of jobs whose input is read at the same time; further calls wait. */
  maxReads?: number
  log: Log
}

const MAX_READS = 4

/** Creates the reader of an instance. */
export function createJobInputs ({ store, maxReads = MAX_READS, log }: JobInputsOptions): JobInputs {
  const cache = new LRUCache<string, readonly JobItem[]>({
    maxSize: MAX_CACHED_CHARS,
    sizeCalculation: (items) => countChars(items.flatMap(({ body, path, headers }) => [body, path, ...headers]))
  })
  const reads = new Map<string, ReturnType<JobInputs['read']>>()
  const waiting: Array<() => void> = []
  let reading = 0

  async function readStored (job: string): ReturnType<JobInputs['read']> {
    if (reading >= maxReads) await new Promise<void>((resolve) => waiting.push(resolve))
    else reading += 1
    try {
      const items = await store.readItems(job)
      if (items.isOk() && items.value !== undefined) cache.set(job, items.value)
      return items
    } finally {
      const next = waiting.shift()
      if (next === undefined) reading -= 1
      else next()
    }
  }

  async function read (job: string): ReturnType<JobInputs['read']> {
    const cached = cache.get(job)
    if (cached !== undefined) return ok(cached)
    const current = reads.get(job) ?? readStored(job).finally(() => reads.delete(job))
    reads.set(job, current)
    return await current
  }

  return {
    read,
    readBody: async (job, item) => {
      const items = await read(job)
      const body = items.unwrapOr(undefined)?.find(({ id }) => id === item)?.body
      if (body === undefined) {
        const cause = items.isErr() ? describeCause(items.error) : 'the input is incomplete'
        log.warn({ job, item, cause }, 'body of an item could not be read again')
      }
      return body
    }
  }
}
