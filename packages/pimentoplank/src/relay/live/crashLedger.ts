/** Remembers content that targets crashed on, so that it does not take down one after the other. */
import { hash64, type Clock } from '../../shared'
import type { CrashNote } from '../gossip'
import type { CallerRequest, Target } from '../model'

export interface CrashLedgerOptions {
  /** Crashes after which content is refused. */
  limit: number
  /** How long content is remembered after its last crash, in milliseconds. */
  keepMs: number
  clock: Clock
}

export interface CrashLedger {
  /** Notes that the connection to a target broke while it ran a request. */
  noteBroken: (target: Target, request: CallerRequest) => void
  /** Notes that a target was found to have ended; its broken requests count as suspects of the crash. */
  noteEnded: (targetId: string) => void
  isRefused: (request: CallerRequest) => boolean
  /** What peers are to know. */
  notes: () => CrashNote[]
  merge: (notes: readonly CrashNote[]) => void
}

interface Entry {
  crashes: number
  at: number
}

interface Broken {
  content: bigint
  at: number
}

/** Requests whose connection broke within this time of each other broke by the same crash, in milliseconds. */
const SAME_CRASH_MS = 2000
/** Most notes in one report. */
const NOTES_SENT = 16

/** Creates the ledger of an instance. */
export function createCrashLedger ({ limit, keepMs, clock }: CrashLedgerOptions): CrashLedger {
  const entries = new Map<bigint, Entry>()
  const broken = new Map<string, Broken[]>()

  function raise (content: bigint, crashes: number): void {
    const known = entries.get(content)
    if (known !== undefined && known.crashes >= crashes) return
    entries.set(content, { crashes, at: clock.now() })
  }

  function prune (): void {
    const since = clock.now() - keepMs
    for (const [content, { at }] of entries) if (at < since) entries.delete(content)
  }

  return {
    noteBroken: (target, request) => {
      const now = clock.now()
      const list = (broken.get(target.id) ?? []).filter(({ at }) => now - at < SAME_CRASH_MS)
      list.push({ content: contentOf(request), at: now })
      broken.set(target.id, list)
    },
    noteEnded: (targetId) => {
      const now = clock.now()
      for (const { content, at } of broken.get(targetId) ?? []) {
        if (now - at < SAME_CRASH_MS) raise(content, (entries.get(content)?.crashes ?? 0) + 1)
      }
      broken.delete(targetId)
    },
    isRefused: (request) => {
      if (entries.size === 0) return false
      prune()
      return (entries.get(contentOf(request))?.crashes ?? 0) >= limit
    },
    notes: () => [...entries].slice(-NOTES_SENT).map(([content, { crashes }]) => ({ content, crashes })),
    merge: (notes) => notes.forEach(({ content, crashes }) => raise(content, crashes))
  }
}

/** A resend has the same path and body, and another id. */
function contentOf (request: CallerRequest): bigint {
  return hash64(`${request.host} ${request.path} ${Buffer.from(request.body).toString('base64')}`)
}
