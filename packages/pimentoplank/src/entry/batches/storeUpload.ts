/** Stores the chunks of an upload while its body is being received. */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import {
  toChunkName, MAX_CHUNKS, OBJECT_KINDS, RefusalError, toUploadHeadName,
  type ChunkItem, type Clock, type PlatformClient
} from '../../shared'
import type { BatchLimits } from './limits'
import { createLineError, parseItem, type ParseItemOptions } from './parseItem'
import { toPlatformRefusal } from './toPlatformRefusal'
import { readLines } from './readLines'

/** Allowance for what a stored item adds to its line, such as the default model, in bytes. */
const ITEM_OVERHEAD_BYTES = 160

/** Summary of a complete upload. */
export interface UploadSummary {
  contentHash: string
  items: number
  chunks: number
  models: string[]
}

export interface StoreUploadOptions extends ParseItemOptions {
  body: AsyncIterable<Uint8Array>
  limits: BatchLimits
  clock: Clock
  /** Destination of the chunks; absent when the job exists already and only its content is compared. */
  store?: ChunkStore
}

/** Writes the objects of one upload, and removes them when the upload fails. */
export interface ChunkStore {
  write: (items: readonly ChunkItem[]) => Promise<Result<void, RefusalError>>
  /** Removes the written objects; those that can't be removed now are left to the collector. */
  discard: () => Promise<void>
}

/** Creates the store of an upload. */
export function createChunkStore (
  platform: PlatformClient,
  { job, uploadId, startedAt }: { job: string, uploadId: string, startedAt: number }
): ChunkStore {
  const written: string[] = []

  async function put (name: string, value: unknown): Promise<Result<void, RefusalError>> {
    written.push(name)
    const stored = await platform.put(OBJECT_KINDS.chunk, name, value, { ifRevision: 0 })
    return stored.map(() => undefined).mapErr((error) => {
      // A job exists only once its job object does, so the outcome is `not_run` even if this chunk was stored.
      const refusal = toPlatformRefusal(error)
      return new RefusalError(refusal.reason, { retryAfterMs: refusal.retryAfterMs, cause: error })
    })
  }

  async function write (items: readonly ChunkItem[]): Promise<Result<void, RefusalError>> {
    if (written.length === 0) {
      const head = await put(toUploadHeadName(job, uploadId), { job, startedAt })
      if (head.isErr()) return head
    }
    return await put(toChunkName(job, uploadId, written.length - 1), { items })
  }

  async function discard (): Promise<void> {
    // The head is removed last: the collector finds an upload by it.
    for (const name of written.reverse()) {
      const removed = await platform.remove(OBJECT_KINDS.chunk, name)
      if (removed.isErr()) return
    }
  }

  return { write, discard }
}

/**
 * Reads an upload to its end. Each chunk is stored before more of the body is read, which bounds memory and slows the
 * sender down to the speed of the platform.
 */
export async function storeUpload (options: StoreUploadOptions): Promise<Result<UploadSummary, RefusalError>> {
  const { limits, clock, store } = options
  const hash = createHash('sha256').update(`${options.defaultModel ?? ''}\n`)
  const lineOfId = new Map<string, number>()
  const models = new Set<string>()
  const endsAt = clock.now() + limits.uploadTimeoutMs
  let chunk: ChunkItem[] = []
  let chunkBytes = 0
  let chunks = 0

  async function flush (): Promise<Result<void, RefusalError>> {
    const stored = await store?.write(chunk) ?? ok(undefined)
    chunk = []
    chunkBytes = 0
    chunks++
    return stored
  }

  try {
    for await (const line of readLines(options.body, limits)) {
      if (clock.now() > endsAt) return err(new RefusalError('timeout', { outcome: 'not_run', detail: 'the upload took too long' }))
      const parsed = parseItem(line, options)
      if (parsed.isErr()) return err(parsed.error)
      const { model, ...item } = parsed.value
      const first = lineOfId.get(item.id)
      if (first !== undefined) return err(createLineError(line, 'id', `${item.id} is the id of line ${first} as well`))
      if (lineOfId.size >= limits.maxItems) {
        return err(new RefusalError('bodyTooLarge', { detail: `the job has more than ${limits.maxItems} items` }))
      }
      lineOfId.set(item.id, line.number)
      models.add(model)
      hash.update(line.text).update('\n')
      chunk.push(item)
      chunkBytes += Buffer.byteLength(line.text) + ITEM_OVERHEAD_BYTES
      if (chunk.length < limits.chunkItems && chunkBytes < limits.chunkBytes) continue
      const flushed = await flush()
      if (flushed.isErr()) return err(flushed.error)
      if (chunks >= MAX_CHUNKS) return err(new RefusalError('bodyTooLarge', { detail: 'the job has too many chunks' }))
    }
  } catch (cause) {
    if (cause instanceof RefusalError) return err(cause)
    return err(new RefusalError('badRequest', { detail: 'the upload broke off', cause }))
  }
  if (lineOfId.size === 0) return err(new RefusalError('badRequest', { detail: 'the job has no items' }))
  if (chunk.length > 0) {
    const flushed = await flush()
    if (flushed.isErr()) return err(flushed.error)
  }
  return ok({ contentHash: hash.digest('hex'), items: lineOfId.size, chunks, models: [...models] })
}
