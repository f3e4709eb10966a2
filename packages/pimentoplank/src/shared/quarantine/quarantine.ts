/** Finds content that crashes targets, together with the other instances. */
import { LRUCache } from 'lru-cache'
import { TIMED_OUT, withTimeLimit, type Clock } from '../clock'
import { HOUR_MS, SECOND_MS } from '../constants'
import type { ObjectFeed } from '../feed'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import { PlatformConflict, type PlatformClient, type StoredObject } from '../platform'
import { isCondemned, mergeRecords, quarantineRecord, type DeathRecord, type QuarantineRecord } from './record'
import type { CrashVerdict, Quarantine } from './types'

const DEFAULT_KEEP_MS = HOUR_MS
/** More targets than content can crash before it is stopped, in this time, are lost for another reason. */
const DEFAULT_MASS_WINDOW_MS = 5 * SECOND_MS
const DEFAULT_MASS_TARGETS = 3
/** Crashes of one target that are reported within this time are one death. */
const DEATH_WINDOW_MS = 2 * SECOND_MS
/** Longest wait for what other instances know, before this one decides by itself. */
const RECORD_WAIT_MS = SECOND_MS
const RECORD_TRIES = 5
const MAX_LOCAL_RECORDS = 10_000

export interface QuarantineOptions {
  platform: Pick<PlatformClient, 'put'>
  feed: Pick<ObjectFeed, 'objects' | 'offer'>
  clock: Clock
  metrics: Metrics
  log: Log
  /** How long content stays refused after its last crash, in milliseconds. */
  keepMs?: number
  /** Time in which the deaths of several targets count as one larger loss, in milliseconds. */
  massWindowMs?: number
  /** Targets that make a larger loss; their deaths are held against no content. */
  massTargets?: number
}

interface TargetDeath {
  at: number
  /** Suspects that ran on the target as it died. */
  suspects: ReadonlySet<string>
}

/** Creates the quarantine of an instance. */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { clock, feed, log, metrics, platform } = options
  const keepMs = options.keepMs ?? DEFAULT_KEEP_MS
  const massWindowMs = options.massWindowMs ?? DEFAULT_MASS_WINDOW_MS
  const massTargets = options.massTargets ?? DEFAULT_MASS_TARGETS
  const local = new LRUCache<string, QuarantineRecord>({ max: MAX_LOCAL_RECORDS })
  const running = new Map<string, Set<string>>()
  const targetDeaths = new Map<string, TargetDeath>()

  /** What this instance and the feed know together; undefined when nothing is in force. */
  function recordOf (contentHash: string): QuarantineRecord | undefined {
    const own = local.get(contentHash)
    const stored = parseRecord(feed.objects(OBJECT_KINDS.quarantine).get(contentHash))
    const known = own !== undefined && stored !== undefined ? mergeRecords(stored, own) : own ?? stored
    return known !== undefined && known.expiresAt > clock.wallTime() ? known : undefined
  }

  function isQuarantined (contentHash: string): boolean {
    const record = recordOf(contentHash)
    return record !== undefined && isCondemned(record)
  }

  function noteRun (contentHash: string, targetId: string): () => void {
    const contents = running.get(targetId) ?? new Set()
    contents.add(contentHash)
    running.set(targetId, contents)
    return () => {
      contents.delete(contentHash)
      if (contents.size === 0 && running.get(targetId) === contents) running.delete(targetId)
    }
  }

  function suspectsOn (targetId: string): Set<string> {
    return new Set([...running.get(targetId) ?? []].filter((content) => recordOf(content) !== undefined))
  }

  function targetsWithSuspects (contentHash: string): string[] {
    if (recordOf(contentHash) === undefined) return []
    return [...running.keys()].filter((id) => [...suspectsOn(id)].some((content) => content !== contentHash))
  }

  /** The death that a crash belongs to: its suspects are those of the first report. */
  function deathOf (targetId: string): TargetDeath {
    const now = clock.now()
    for (const [id, death] of targetDeaths) {
      if (now - death.at > Math.max(massWindowMs, DEATH_WINDOW_MS)) targetDeaths.delete(id)
    }
    const known = targetDeaths.get(targetId)
    if (known !== undefined && now - known.at <= DEATH_WINDOW_MS) return known
    const death = { at: now, suspects: suspectsOn(targetId) }
    targetDeaths.set(targetId, death)
    return death
  }

  function isMassLoss (): boolean {
    const now = clock.now()
    const recent = [...targetDeaths.values()].filter((death) => now - death.at <= massWindowMs)
    return recent.length >= massTargets
  }

  async function noteCrash (contentHash: string, targetId: string): Promise<CrashVerdict> {
    const death = deathOf(targetId)
    if (isMassLoss()) {
      metrics.count('quarantine.massLoss')
      return isQuarantined(contentHash) ? 'quarantined' : 'suspect'
    }
    const alone = [...death.suspects].every((content) => content === contentHash)
    const record = noteLocally(contentHash, { target: targetId, alone })
    // The platform may be down; the verdict of this instance doesn't wait for it.
    const stored = await withTimeLimit(clock, RECORD_WAIT_MS, store(contentHash, record))
    if (stored === TIMED_OUT) metrics.count('quarantine.undecided')
    const verdict = isQuarantined(contentHash) ? 'quarantined' : 'suspect'
    metrics.count(`quarantine.${verdict}`)
    log.warn({ contentHash, target: targetId, verdict }, 'target died while it ran a request')
    return verdict
  }

  function noteLocally (contentHash: string, death: DeathRecord): QuarantineRecord {
    const added = { deaths: [death], expiresAt: clock.wallTime() + keepMs }
    const known = recordOf(contentHash)
    const record = known === undefined ? added : mergeRecords(known, added)
    local.set(contentHash, record)
    return record
  }

  async function store (contentHash: string, added: QuarantineRecord): Promise<void> {
    let record = added
    let ifRevision = feed.objects(OBJECT_KINDS.quarantine).get(contentHash)?.revision ?? 0
    for (let tries = 0; tries < RECORD_TRIES; tries++) {
      const put = await platform.put(OBJECT_KINDS.quarantine, contentHash, record, { ifRevision })
      if (put.isOk()) {
        feed.offer(put.value)
        return
      }
      if (!(put.error instanceof PlatformConflict)) continue
      const { current } = put.error
      const stored = parseRecord(current ?? undefined)
      // Deaths that are past their time are forgotten with the record.
      if (stored !== undefined && stored.expiresAt > clock.wallTime()) record = mergeRecords(stored, record)
      local.set(contentHash, record)
      ifRevision = current?.revision ?? 0
    }
    log.warn({ contentHash }, 'the platform did not take the record of a crash')
  }

  return { isQuarantined, noteRun, targetsWithSuspects, noteCrash }
}

function parseRecord (object: StoredObject | undefined): QuarantineRecord | undefined {
  const parsed = quarantineRecord.safeParse(object?.value)
  return parsed.success ? parsed.data : undefined
}
