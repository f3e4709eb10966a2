/** Keeps the prompt parts that crash targets at the platform, for instances that start later. */
import * as z from 'zod'
import { describeCause, PlatformConflict, SECOND_MS, type Clock, type Log, type PlatformClient } from '../../shared'
import type { CrashingParts } from '../gossip'

/** Object kind of the records. */
export const CRASHING_PARTS_KIND = 'crashing-parts'

const crashingPartsRecord = z.object({
  /** Hashes of the parts, in hexadecimal digits. */
  parts: z.array(z.string().regex(/^[0-9a-f]{1,16}$/)).min(1),
  /** Wall clock time at which they were found, in milliseconds since the Unix epoch. */
  foundAt: z.number()
})

export interface CrashingPartsStoreOptions {
  platform: Pick<PlatformClient, 'put' | 'listAll' | 'remove'>
  /** How long the records count, in milliseconds. */
  keepMs: number
  clock: Clock
  log: Log
}

export interface CrashingPartsStore {
  /** Stores parts that were found; a failure is logged, as peers know of them too. */
  save: (found: CrashingParts) => Promise<void>
  /**
   * Reads what was found before this process started, trying again until the platform answers; removes old records.
   *
   * @param signal - ends the tries
   */
  load: (signal: AbortSignal) => Promise<CrashingParts[]>
}

/** Pause between two tries to read the records, in milliseconds. */
const LOAD_RETRY_MS = SECOND_MS
/** Attempts to replace an expired record that other instances write or remove at the same time. */
const MAX_SAVE_ATTEMPTS = 3

/** Creates the store of an instance. */
export function createCrashingPartsStore (options: CrashingPartsStoreOptions): CrashingPartsStore {
  const { platform, keepMs, clock, log } = options

  async function save ({ parts }: CrashingParts): Promise<void> {
    const digits = parts.map((part) => part.toString(16))
    const name = digits.join('-')
    const record = { parts: digits, foundAt: clock.wallTime() }
    let ifRevision = 0
    for (let attempt = 1; ; attempt++) {
      const stored = await platform.put(CRASHING_PARTS_KIND, name, record, { ifRevision })
      if (stored.isOk()) return
      const current = stored.error instanceof PlatformConflict ? stored.error.current : undefined
      // A peer may have found and stored the same parts.
      if (isCurrentRecord(current?.value)) return
      if (current === undefined || attempt >= MAX_SAVE_ATTEMPTS) {
        log.warn({ parts: digits, cause: describeCause(stored.error) }, 'parts that crash targets could not be stored')
        return
      }
      ifRevision = current?.revision ?? 0
    }
  }

  function isCurrentRecord (value: unknown): boolean {
    const record = crashingPartsRecord.safeParse(value)
    return record.success && clock.wallTime() - record.data.foundAt <= keepMs
  }

  async function removeRecord (name: string): Promise<void> {
    const removed = await platform.remove(CRASHING_PARTS_KIND, name)
    if (removed.isErr()) log.warn({ name, cause: describeCause(removed.error) }, 'old record could not be removed')
  }

  async function load (signal: AbortSignal): Promise<CrashingParts[]> {
    while (!signal.aborted) {
      const listed = await platform.listAll(CRASHING_PARTS_KIND)
      if (listed.isOk()) return await decodeRecords(listed.value.items)
      log.warn({ cause: describeCause(listed.error) }, 'parts that crash targets could not be read')
      await clock.sleep(LOAD_RETRY_MS, signal)
    }
    return []
  }

  async function decodeRecords (objects: ReadonlyArray<{ name: string, value: unknown }>): Promise<CrashingParts[]> {
    const found: CrashingParts[] = []
    for (const { name, value } of objects) {
      const record = crashingPartsRecord.safeParse(value)
      const ageMs = record.success ? Math.max(0, clock.wallTime() - record.data.foundAt) : Infinity
      if (!record.success || ageMs > keepMs) {
        await removeRecord(name)
        continue
      }
      const parts = record.data.parts.map((digits) => BigInt(`0x${digits}`))
      found.push({ parts, at: clock.now() - ageMs })
      log.info({ parts: record.data.parts, ageMs: Math.round(ageMs) }, 'prompt parts crash targets')
    }
    return found
  }

  return { save, load }
}
