/** Tracks request content on which targets crashed, so that one request can't take down one target after the other. */
import { LRUCache } from 'lru-cache'
import { hash32, hash64, type Clock, type Log } from '../../shared'
import type { CrashRecord } from '../gossip'
import type { CallerRequest, RawHeaders } from '../model'

export interface CrashTrackerOptions {
  /** Number of different targets that must crash on some content before it is refused. */
  limit: number
  /** How long content is refused after its last crash, in milliseconds. */
  keepMs: number
  /** Decodes the ids of the parts of a prompt, in order, from the headers of its request. */
  decodePromptParts: (headers: RawHeaders) => string[]
  clock: Clock
  log: Log
}

export interface CrashTracker {
  /** Records that a target broke the connection as it began to run a request. */
  recordCrash: (targetId: string, request: CallerRequest) => void
  /** Returns whether too many targets crashed on the content of a request. */
  isRefused: (request: CallerRequest) => boolean
  /** Returns recent crashes for gossip. */
  getNotices: () => CrashRecord[]
  /** Merges crashes that a peer reported. */
  merge: (notices: readonly CrashRecord[]) => void
}

interface Entry {
  /** Hashes of the ids of targets that crashed. */
  targets: Set<number>
  at: number
}

/** Maximum of notices in one report. */
const MAX_NOTICES = 16
/** How long a changed entry is repeated in gossip, in milliseconds. */
const NOTICE_MS = 3000
/** Maximum of entries; the least recently used are evicted. */
const MAX_ENTRIES = 5000

/** Creates the crash tracker of an instance. */
export function createCrashTracker (options: CrashTrackerOptions): CrashTracker {
  const { limit, keepMs, clock, log } = options
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
    recordCrash: (targetId, request) => {
      const content = hashContent(request)
      add(content, [hash32(targetId)])
      log.info({
        req: request.id,
        target: targetId,
        content: content.toString(16),
        promptParts: options.decodePromptParts(request.headers),
        crashedTargets: entries.get(content)?.targets.size
      }, 'target broke off as a request began')
    },
    isRefused: (request) => {
      if (entries.size === 0) return false
      const entry = entries.get(hashContent(request))
      return entry !== undefined && entry.targets.size >= limit && clock.now() - entry.at <= keepMs
    },
    getNotices: () => {
      const since = clock.now() - NOTICE_MS
      return [...entries.entries()]
        .filter(([, { at }]) => at >= since)
        .sort(([, a], [, b]) => b.targets.size - a.targets.size)
        .slice(0, MAX_NOTICES)
        .map(([content, { targets }]) => ({ content, targets: [...targets] }))
    },
    merge: (notices) => notices.forEach(({ content, targets }) => add(content, targets))
  }
}

/** Hashes what a resent request has in common with the first: host, path and body; its id differs. */
function hashContent (request: CallerRequest): bigint {
  return hash64(`${request.host} ${request.path} ${Buffer.from(request.body).toString('base64')}`)
}
