/** Remembers content that targets broke off on, so that it does not take down one after the other. */
import { LRUCache } from 'lru-cache'
import { hash32, hash64, type Clock } from '../../shared'
import type { CrashNote } from '../gossip'
import type { CallerRequest } from '../model'

export interface CrashLedgerOptions {
  /** Targets that have to break off before content is refused. */
  limit: number
  /** How long content is remembered after its last crash, in milliseconds. */
  keepMs: number
  clock: Clock
}

export interface CrashLedger {
  /** Notes that a target broke off as it began to run a request. */
  noteBroken: (targetId: string, request: CallerRequest) => void
  /** True when too many targets broke off on the content of a request. */
  isRefused: (request: CallerRequest) => boolean
  /** What peers are to know. */
  notes: () => CrashNote[]
  merge: (notes: readonly CrashNote[]) => void
}

interface Entry {
  /** Hashes of the targets. */
  targets: Set<number>
  at: number
}

/** Most notes in one report. */
const NOTES_SENT = 16
/** How long peers are told of an entry after it changed, in milliseconds. */
const NOTICE_MS = 3000
/** Most contents that are remembered. */
const MAX_ENTRIES = 5000

/** Creates the ledger of an instance. */
export function createCrashLedger ({ limit, keepMs, clock }: CrashLedgerOptions): CrashLedger {
  const entries = new LRUCache<bigint, Entry>({ max: MAX_ENTRIES })

  function add (content: bigint, targets: readonly number[]): void {
    const entry = entries.get(content) ?? { targets: new Set<number>(), at: clock.now() }
    const before = entry.targets.size
    targets.forEach((target) => entry.targets.add(target))
    if (entry.targets.size === before) return
    entry.at = clock.now()
    entries.set(content, entry)
  }

  return {
    noteBroken: (targetId, request) => add(contentOf(request), [hash32(targetId)]),
    isRefused: (request) => {
      if (entries.size === 0) return false
      const entry = entries.get(contentOf(request))
      return entry !== undefined && entry.targets.size >= limit && clock.now() - entry.at <= keepMs
    },
    notes: () => {
      const since = clock.now() - NOTICE_MS
      return [...entries.entries()]
        .filter(([, { at }]) => at >= since)
        .sort(([, a], [, b]) => b.targets.size - a.targets.size)
        .slice(0, NOTES_SENT)
        .map(([content, { targets }]) => ({ content, targets: [...targets] }))
    },
    merge: (notes) => notes.forEach(({ content, targets }) => add(content, targets))
  }
}

/** A resend has the same path and body, and another id. */
function contentOf (request: CallerRequest): bigint {
  return hash64(`${request.host} ${request.path} ${Buffer.from(request.body).toString('base64')}`)
}
