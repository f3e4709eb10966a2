/** Detects prompt parts that crash targets, from the crashes that all instances record at the platform. */
import { LRUCache } from 'lru-cache'
import * as z from 'zod'
import type { Clock } from '../clock'
import { MINUTE_MS } from '../constants'
import { describeCause } from '../errors'
import type { ObjectFeed } from '../feed'
import { hashHex } from '../hashing'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import { PlatformConflict, type PlatformClient, type StoredObject } from '../platform'
import { findCrashingParts, type CrashedPrompt, type TargetCrash } from './crashAttribution'
import { findDueProbe } from './probeSchedule'

export interface PartQuarantineOptions {
  platform: Pick<PlatformClient, 'put' | 'remove'>
  feed: Pick<ObjectFeed, 'objects' | 'offer'>
  clock: Clock
  metrics: Metrics
  log: Log
  /** How long prompts with a part are refused after it was found, in milliseconds. */
  keepMs: number
}

export interface PartQuarantine {
  /** True when the prompt has parts that crash targets. */
  hasCrashingParts: (parts: readonly string[]) => boolean
  /**
   * Claims the probe that is due for the parts of a prompt. The claim is a conditional write to the platform, so that
   * one request of all instances gets it; none does while the platform does not respond.
   */
  claimProbe: (parts: readonly string[]) => Promise<boolean>
  /** Records that an answer has begun, which clears the parts of its prompt of earlier crashes. */
  recordAnswer: (parts: readonly string[]) => void
  /** Records that a target crashed before its answer to the prompt had begun. */
  recordCrash: (prompt: CrashedPrompt<string>, targetId: string) => Promise<void>
}

const crashObject = z.object({
  target: z.string(),
  /** Wall clock time in milliseconds since the Unix epoch, like all times in this module. */
  at: z.number(),
  prompts: z.array(z.object({ id: z.string(), parts: z.array(z.string()) }))
})
type CrashObject = z.infer<typeof crashObject>

const foundObject = z.object({
  parts: z.array(z.string()).min(1),
  foundAt: z.number(),
  /** Number of the latest probe that was claimed; -1 if none was. See `findDueProbe`. */
  probe: z.number().default(-1)
})
type FoundObject = z.infer<typeof foundObject>

/** Names begin with these, which tells the objects from the records of whole prompts in the same kind. */
const CRASH_PREFIX = 'crash-'
const FOUND_PREFIX = 'parts-'
/** Older crashes are no evidence, in milliseconds. */
const EVIDENCE_MS = MINUTE_MS
const MAX_WRITE_ATTEMPTS = 5
/** Maximum of parts whose latest answer is remembered; the least recently answered are evicted. */
const MAX_ANSWERED_PARTS = 10_000

/** Creates the detection of an instance. */
export function createPartQuarantine (options: PartQuarantineOptions): PartQuarantine {
  const { platform, feed, clock, metrics, log, keepMs } = options
  const answeredAt = new LRUCache<string, number>({ max: MAX_ANSWERED_PARTS })
  const ownCrashes = new Map<string, CrashObject>()
  /** What this instance found and could not store yet. */
  const ownFound = new Map<string, FoundObject>()

  function listCrashes (): Array<TargetCrash<string>> {
    const since = clock.wallTime() - EVIDENCE_MS
    const crashes = new Map(ownCrashes)
    for (const { name, value } of feed.objects(OBJECT_KINDS.quarantine).values()) {
      const stored = name.startsWith(CRASH_PREFIX) ? crashObject.safeParse(value) : undefined
      if (stored?.success === true) crashes.set(name, mergeCrashes(crashes.get(name), stored.data))
    }
    for (const [name, { at }] of ownCrashes) if (at < since) ownCrashes.delete(name)
    return [...crashes.values()].filter(({ at }) => at >= since)
  }

  /** Lists what was found, without the parts that were answered since then. */
  function listFound (): string[][] {
    const since = clock.wallTime() - keepMs
    const found = [...ownFound.values()]
    for (const { name, value } of feed.objects(OBJECT_KINDS.quarantine).values()) {
      const stored = name.startsWith(FOUND_PREFIX) ? foundObject.safeParse(value) : undefined
      if (stored?.success === true) found.push(stored.data)
    }
    return found
      .filter(({ foundAt }) => foundAt >= since)
      .map(({ parts, foundAt }) => parts.filter((part) => (answeredAt.get(part) ?? -Infinity) <= foundAt))
      .filter((parts) => parts.length > 0)
  }

  function hasAll (parts: readonly string[], found: readonly string[]): boolean {
    return found.every((part) => parts.includes(part))
  }

  async function storeCrash (name: string): Promise<void> {
    let ifRevision = feed.objects(OBJECT_KINDS.quarantine).get(name)?.revision ?? 0
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts++) {
      const put = await platform.put(OBJECT_KINDS.quarantine, name, ownCrashes.get(name), { ifRevision })
      if (put.isOk()) {
        feed.offer(put.value)
        return
      }
      if (!(put.error instanceof PlatformConflict)) continue
      ifRevision = put.error.current?.revision ?? 0
      addStored(name, put.error.current)
    }
    log.warn({ name }, 'crash of a target could not be stored in the platform')
  }

  function addStored (name: string, stored: StoredObject | null | undefined): void {
    const parsed = crashObject.safeParse(stored?.value)
    const own = ownCrashes.get(name)
    if (parsed.success && own !== undefined) ownCrashes.set(name, mergeCrashes(own, parsed.data))
  }

  async function findParts (): Promise<void> {
    for (;;) {
      const found = listFound()
      const unexplained = listCrashes().filter(({ prompts }) =>
        !prompts.some(({ parts }) => found.some((one) => hasAll(parts, one))))
      const parts = findCrashingParts({ crashes: unexplained, getAnsweredAt: (part) => answeredAt.get(part) })
      if (parts === undefined || parts.length === 0) return
      metrics.count('quarantine.parts')
      log.warn({ parts, crashes: unexplained.length }, 'prompt parts crash targets')
      const name = `${FOUND_PREFIX}${hashHex(parts.join())}`
      const record: FoundObject = { parts, foundAt: clock.wallTime(), probe: -1 }
      ownFound.set(name, record)
      await storeFound(name, record)
    }
  }

  async function storeFound (name: string, record: FoundObject): Promise<void> {
    const ifRevision = feed.objects(OBJECT_KINDS.quarantine).get(name)?.revision ?? 0
    const put = await platform.put(OBJECT_KINDS.quarantine, name, record, { ifRevision })
    if (put.isErr()) {
      log.warn({ name, cause: describeCause(put.error) }, 'parts that crash targets could not be stored')
      return
    }
    feed.offer(put.value)
    // From now on the stored record counts, which another instance may remove.
    ownFound.delete(name)
  }

  async function claimProbe (parts: readonly string[]): Promise<boolean> {
    const now = clock.wallTime()
    const matches = [...feed.objects(OBJECT_KINDS.quarantine).values()].flatMap(({ name, revision, value }) => {
      const stored = name.startsWith(FOUND_PREFIX) ? foundObject.safeParse(value) : undefined
      const isInForce = stored?.success === true && now - stored.data.foundAt <= keepMs
      return isInForce && hasAll(parts, stored.data.parts) ? [{ name, revision, record: stored.data }] : []
    })
    // A probe of one record would be refused, or crash its target, because of another.
    const [match] = matches
    if (match === undefined || matches.length > 1) return false
    const { name, revision, record } = match
    const probe = findDueProbe(now - record.foundAt, record.probe)
    if (probe === undefined) return false
    const put = await platform.put(OBJECT_KINDS.quarantine, name, { ...record, probe }, { ifRevision: revision })
    if (put.isErr()) {
      // Most often another instance has claimed it.
      log.info({ name, probe, cause: describeCause(put.error) }, 'probe not claimed')
      return false
    }
    feed.offer(put.value)
    log.info({ parts: record.parts, probe }, 'probing whether parts still crash targets')
    return true
  }

  /** Tells the other instances that parts were answered after they had been found. */
  async function clearFound (answered: readonly string[], now: number): Promise<void> {
    for (const [name, { parts, foundAt }] of ownFound) {
      if (foundAt < now && parts.some((part) => answered.includes(part))) ownFound.delete(name)
    }
    for (const { name, value } of [...feed.objects(OBJECT_KINDS.quarantine).values()]) {
      const stored = name.startsWith(FOUND_PREFIX) ? foundObject.safeParse(value) : undefined
      if (stored?.success !== true || stored.data.foundAt >= now) continue
      const parts = stored.data.parts.filter((part) => !answered.includes(part))
      if (parts.length === stored.data.parts.length) continue
      const removed = await platform.remove(OBJECT_KINDS.quarantine, name)
      if (removed.isErr()) log.warn({ name, cause: describeCause(removed.error) }, 'cleared parts could not be removed')
      else if (parts.length > 0) {
        await storeFound(`${FOUND_PREFIX}${hashHex(parts.join())}`, { ...stored.data, parts })
      }
    }
  }

  return {
    hasCrashingParts: (parts) => listFound().some((one) => hasAll(parts, one)),
    claimProbe,
    recordAnswer: (parts) => {
      const now = clock.wallTime()
      for (const part of parts) answeredAt.set(part, now)
      clearFound(parts, now).catch((cause: unknown) => {
        log.error({ cause: describeCause(cause) }, 'parts could not be cleared')
      })
    },
    recordCrash: async (prompt, targetId) => {
      if (prompt.parts.length === 0) return
      const name = `${CRASH_PREFIX}${hashHex(targetId)}`
      const crash = { target: targetId, at: clock.wallTime(), prompts: [{ id: prompt.id, parts: [...prompt.parts] }] }
      ownCrashes.set(name, mergeCrashes(ownCrashes.get(name), crash))
      await storeCrash(name)
      await findParts()
    }
  }
}

/** Merges two records of one target; a record that is too old for the later one is dropped. */
function mergeCrashes (a: CrashObject | undefined, b: CrashObject): CrashObject {
  if (a === undefined || a.at < b.at - EVIDENCE_MS) return b
  if (b.at < a.at - EVIDENCE_MS) return a
  const added = b.prompts.filter(({ id }) => !a.prompts.some((known) => known.id === id))
  return { target: a.target, at: Math.min(a.at, b.at), prompts: [...a.prompts, ...added] }
}
