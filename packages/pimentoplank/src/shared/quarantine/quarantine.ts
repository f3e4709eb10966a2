/** Detects content that crashes targets, from the crashes that all instances record. */
import { LRUCache } from 'lru-cache'
import { TIMED_OUT, withTimeLimit, type Clock } from '../clock'
import { HOUR_MS, SECOND_MS } from '../constants'
import type { ObjectFeed } from '../feed'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import { PlatformConflict, type PlatformClient, type StoredObject } from '../platform'
import { createPartQuarantine } from './partQuarantine'
import { shouldQuarantine, mergeRecords, quarantineRecord, type CrashRecord, type QuarantineRecord } from './record'
import type { CrashVerdict, Quarantine } from './types'

const DEFAULT_KEEP_MS = HOUR_MS
/**
 * `DEFAULT_MASS_TARGETS` crashes within this time are attributed to another cause: content is stopped before it can
 * crash that many targets.
 */
const DEFAULT_MASS_WINDOW_MS = 5 * SECOND_MS
const DEFAULT_MASS_TARGETS = 3
/** Reports about one target within this time belong to the same crash. */
const CRASH_WINDOW_MS = 2 * SECOND_MS
/** Longest wait for the records of other instances, before this one decides on its own. */
const MAX_RECORD_WAIT_MS = SECOND_MS
const MAX_WRITE_ATTEMPTS = 5
const MAX_LOCAL_RECORDS = 10_000

export interface QuarantineOptions {
  platform: Pick<PlatformClient, 'put' | 'remove'>
  feed: Pick<ObjectFeed, 'objects' | 'offer'>
  clock: Clock
  metrics: Metrics
  log: Log
  /** How long content is quarantined after its last crash, in milliseconds. */
  keepMs?: number
  /** Window in which crashes of several targets count as a mass failure, in milliseconds. */
  massWindowMs?: number
  /** Number of crashed targets that make a mass failure; its crashes are attributed to no content. */
  massTargets?: number
}

interface TargetCrash {
  at: number
  /** Suspect content that ran on the target when it crashed. */
  suspects: ReadonlySet<string>
}

/** Creates the quarantine of an instance. */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { clock, feed, log, metrics, platform } = options
  const keepMs = options.keepMs ?? DEFAULT_KEEP_MS
  const massWindowMs = options.massWindowMs ?? DEFAULT_MASS_WINDOW_MS
  const massTargets = options.massTargets ?? DEFAULT_MASS_TARGETS
  const partQuarantine = createPartQuarantine({ platform, feed, clock, metrics, log, keepMs })
  const local = new LRUCache<string, QuarantineRecord>({ max: MAX_LOCAL_RECORDS })
  const running = new Map<string, Set<string>>()
  const targetCrashes = new Map<string, TargetCrash>()

  /** Merges the records of this instance and of the feed; undefined when there is none or it has expired. */
  function getRecord (contentHash: string): QuarantineRecord | undefined {
    const own = local.get(contentHash)
    const stored = parseRecord(feed.objects(OBJECT_KINDS.quarantine).get(contentHash))
    const known = own !== undefined && stored !== undefined ? mergeRecords(stored, own) : own ?? stored
    return known !== undefined && known.expiresAt > clock.wallTime() ? known : undefined
  }

  function isQuarantined (contentHash: string, parts: readonly string[] = []): boolean {
    const record = getRecord(contentHash)
    return (record !== undefined && shouldQuarantine(record)) || partQuarantine.hasCrashingParts(parts)
  }

  async function claimProbe (contentHash: string, parts: readonly string[]): Promise<boolean> {
    return !isQuarantined(contentHash) && await partQuarantine.claimProbe(parts)
  }

  function startRun (contentHash: string, targetId: string): () => void {
    const contents = running.get(targetId) ?? new Set()
    contents.add(contentHash)
    running.set(targetId, contents)
    return () => {
      contents.delete(contentHash)
      if (contents.size === 0 && running.get(targetId) === contents) running.delete(targetId)
    }
  }

  function findSuspects (targetId: string): Set<string> {
    return new Set([...running.get(targetId) ?? []].filter((content) => getRecord(content) !== undefined))
  }

  function findConflictingTargets (contentHash: string): string[] {
    if (getRecord(contentHash) === undefined) return []
    return [...running.keys()].filter((id) => [...findSuspects(id)].some((content) => content !== contentHash))
  }

  /** Returns the crash that a report belongs to; its suspects are those of the first report. */
  function getCrash (targetId: string): TargetCrash {
    const now = clock.now()
    for (const [id, crash] of targetCrashes) {
      if (now - crash.at > Math.max(massWindowMs, CRASH_WINDOW_MS)) targetCrashes.delete(id)
    }
    const known = targetCrashes.get(targetId)
    if (known !== undefined && now - known.at <= CRASH_WINDOW_MS) return known
    const crash = { at: now, suspects: findSuspects(targetId) }
    targetCrashes.set(targetId, crash)
    return crash
  }

  function isMassFailure (): boolean {
    const now = clock.now()
    const recent = [...targetCrashes.values()].filter((crash) => now - crash.at <= massWindowMs)
    return recent.length >= massTargets
  }

  async function handleCrash (
    contentHash: string,
    targetId: string,
    parts: readonly string[] = []
  ): Promise<CrashVerdict> {
    const crash = getCrash(targetId)
    // The platform may be down; the decision of this instance does not depend on it.
    const partRecorded = withTimeLimit(
      clock, MAX_RECORD_WAIT_MS, partQuarantine.recordCrash({ id: contentHash, parts }, targetId)
    )
    if (isMassFailure()) {
      metrics.count('quarantine.massLoss')
      await partRecorded
      return isQuarantined(contentHash, parts) ? 'quarantined' : 'suspect'
    }
    const alone = [...crash.suspects].every((content) => content === contentHash)
    const record = recordLocally(contentHash, { target: targetId, alone })
    const stored = await withTimeLimit(clock, MAX_RECORD_WAIT_MS, store(contentHash, record))
    if (stored === TIMED_OUT) metrics.count('quarantine.undecided')
    await partRecorded
    const verdict = isQuarantined(contentHash, parts) ? 'quarantined' : 'suspect'
    metrics.count(`quarantine.${verdict}`)
    log.warn({ contentHash, target: targetId, verdict }, 'target crashed while it ran a request')
    return verdict
  }

  function recordLocally (contentHash: string, crash: CrashRecord): QuarantineRecord {
    const added = { deaths: [crash], expiresAt: clock.wallTime() + keepMs }
    const known = getRecord(contentHash)
    const record = known === undefined ? added : mergeRecords(known, added)
    local.set(contentHash, record)
    return record
  }

  async function store (contentHash: string, added: QuarantineRecord): Promise<void> {
    let record = added
    let ifRevision = feed.objects(OBJECT_KINDS.quarantine).get(contentHash)?.revision ?? 0
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts++) {
      const put = await platform.put(OBJECT_KINDS.quarantine, contentHash, record, { ifRevision })
      if (put.isOk()) {
        feed.offer(put.value)
        return
      }
      if (!(put.error instanceof PlatformConflict)) continue
      const { current } = put.error
      const stored = parseRecord(current ?? undefined)
      // An expired record is replaced: its crashes no longer count.
      if (stored !== undefined && stored.expiresAt > clock.wallTime()) record = mergeRecords(stored, record)
      local.set(contentHash, record)
      ifRevision = current?.revision ?? 0
    }
    log.warn({ contentHash }, 'record of a crash could not be stored in the platform')
  }

  return {
    isQuarantined,
    hasCrashingParts: partQuarantine.hasCrashingParts,
    claimProbe,
    recordAnswer: partQuarantine.recordAnswer,
    trackRun: startRun,
    findTargetsWithSuspects: findConflictingTargets,
    recordCrash: handleCrash
  }
}

function parseRecord (object: StoredObject | undefined): QuarantineRecord | undefined {
  const parsed = quarantineRecord.safeParse(object?.value)
  return parsed.success ? parsed.data : undefined
}
