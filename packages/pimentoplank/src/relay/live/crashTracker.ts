/** Tracks crashes of targets, so that no prompt, and no part of prompts, can take down one target after the other. */
import { LRUCache } from 'lru-cache'
import {
  describeCause, findCrashingParts, findDueProbe, findProbeTurn, hash32, hash64, isCrashingPrompt,
  type Clock, type Log, type ProbeTurn, type TargetCrash
} from '../../shared'
import type { AnsweredPart, CrashReport, CrashingParts } from '../gossip'
import type { CallerRequest, RawHeaders } from '../model'
import type { CheckedTarget, CrashChecks } from './crashChecks'

export interface CrashTrackerOptions {
  /** How long a prompt or part is refused after its last crash, in milliseconds. */
  keepMs: number
  /** Decodes the ids of the parts of a prompt, in order; the last part is the request's own. */
  decodePromptParts: (headers: RawHeaders) => string[]
  /** True if a turn to probe whether parts still crash targets is that of this instance. */
  isProber: (key: string, turn: ProbeTurn) => boolean
  checks: CrashChecks
  /** Called when this instance has learned of something that peers should know at once. */
  onChange: () => void
  /** Called when this instance finds parts that crash targets. */
  onFound: (found: CrashingParts) => void
  clock: Clock
  log: Log
}

/** How a connection broke as a request began. */
export type CrashReason = 'broken' | 'staleConnection'

export interface CrashTracker {
  /**
   * Records that a connection to a target broke before the answer to a request had begun. Counts as a crash of the
   * target once its process is known to have gone.
   *
   * @param reason - `staleConnection` for a kept connection, which a process that lives may close at any time
   */
  recordPossibleCrash: (target: CheckedTarget, request: CallerRequest, reason: CrashReason) => void
  /** Records that an answer has begun, which clears the parts of its prompt of earlier crashes. */
  recordAnswer: (headers: RawHeaders) => void
  /** Returns whether the request would crash its target. */
  isRefused: (request: CallerRequest) => boolean
  /** Returns whether a prompt has parts that crash targets. */
  hasCrashingParts: (headers: RawHeaders) => boolean
  /** Lets one request of this instance through when it is time to probe whether its parts still crash targets. */
  mayProbe: (request: CallerRequest) => boolean
  /** Returns what peers should know. */
  getReport: () => CrashReport
  /** Merges what a peer reported. */
  merge: (report: CrashReport) => void
  /** Merges parts that were found before this process started. */
  restore: (found: readonly CrashingParts[]) => void
}

/** A crash that this instance saw, or that peers reported. */
interface KnownCrash extends TargetCrash<bigint> {
  target: number
  prompts: PromptKeys[]
  /** When this instance learned of it by itself, on the monotonic clock in milliseconds; undefined if it did not. */
  confirmedAt?: number
}

interface PromptKeys {
  id: bigint
  parts: readonly bigint[]
}

interface Found extends CrashingParts {
  /** Number of the latest probe of this instance; see `findProbeTurn`. */
  probe: number
}

/** How long crashes and answers are repeated in reports, in milliseconds. */
const NOTICE_MS = 3000
/** Maximum of crashes and of answered parts in one report. */
const MAX_NOTICES = 16
/** Maximum of parts of prompts in the crashes of one report, and in the parts found, so that it fits a datagram. */
const MAX_REPORTED_PARTS = 1024
/** Maximum of known crashes, and of parts that were found together; the oldest are dropped. */
const MAX_CRASHES = 500
/** Maximum of parts of one prompt that are looked at. */
const MAX_PROMPT_PARTS = 128
/** Crashes of one target within this time are the same. */
const SAME_CRASH_MS = 2000
/** Maximum of prompts that are recorded with one crash. */
const MAX_PROMPTS = 8
/** Maximum of parts whose latest answer is remembered; the least recently answered are evicted. */
const MAX_ANSWERED_PARTS = 10_000
/** Crashes older than this are no evidence against a part, in milliseconds. */
const EVIDENCE_MS = 60_000
/** A process this young does not know yet which parts its peers have answered, in milliseconds. */
const LEARNING_MS = 3000

/** Creates the crash tracker of an instance. */
export function createCrashTracker (options: CrashTrackerOptions): CrashTracker {
  const { keepMs, clock, log } = options
  const startedAt = clock.now()
  const answered = new LRUCache<bigint, number>({ max: MAX_ANSWERED_PARTS })
  const partsByHeaders = new WeakMap<RawHeaders, readonly bigint[]>()
  const promptIds = new WeakMap<CallerRequest, bigint>()
  /** Parts that were refused and have been answered, with the time until which reports say so. */
  const cleared = new LRUCache<bigint, number>({ max: MAX_ANSWERED_PARTS })
  let crashes: KnownCrash[] = []
  let found: Found[] = []

  /** Returns the hashes of the parts that other prompts may share. */
  function getParts (headers: RawHeaders): readonly bigint[] {
    let parts = partsByHeaders.get(headers)
    if (parts === undefined) {
      parts = [...new Set(options.decodePromptParts(headers).slice(0, -1))].slice(0, MAX_PROMPT_PARTS).map(hash64)
      partsByHeaders.set(headers, parts)
    }
    return parts
  }

  function getPromptId (request: CallerRequest): bigint {
    let id = promptIds.get(request)
    if (id === undefined) {
      id = hashPrompt(request)
      promptIds.set(request, id)
    }
    return id
  }

  function addCrash (target: number, at: number, prompts: readonly PromptKeys[], confirmedAt?: number): boolean {
    let crash = crashes.find((one) => one.target === target && Math.abs(one.at - at) <= SAME_CRASH_MS)
    if (crash === undefined) {
      crash = { target, at, prompts: [] }
      crashes = [...crashes, crash].slice(-MAX_CRASHES)
    }
    const added = prompts
      .filter(({ id }) => !crash.prompts.some((known) => known.id === id))
      .slice(0, MAX_PROMPTS - crash.prompts.length)
    crash.prompts.push(...added)
    crash.confirmedAt ??= confirmedAt
    return added.length > 0
  }

  function hasAllParts (parts: readonly bigint[], one: CrashingParts): boolean {
    return one.parts.every((part) => parts.includes(part))
  }

  function findCulprits (): void {
    const now = clock.now()
    if (now - startedAt < LEARNING_MS) return
    for (;;) {
      const unexplained = crashes.filter((crash) => crash.at > now - EVIDENCE_MS &&
        !found.some((one) => crash.prompts.some(({ parts }) => hasAllParts(parts, one))))
      const parts = findCrashingParts({ crashes: unexplained, getAnsweredAt: (part) => answered.get(part) })
      if (parts === undefined || parts.length === 0) return
      log.warn({ parts: parts.map(toHex), crashes: unexplained.length }, 'prompt parts crash targets')
      const culprit = { parts, at: now }
      addFound(culprit)
      options.onFound(culprit)
      options.onChange()
    }
  }

  /** Parts that were answered since then did not crash their targets. */
  function addFound ({ parts, at }: CrashingParts): void {
    const suspects = parts.filter((part) => (answered.get(part) ?? -Infinity) <= at).sort()
    for (const part of parts) if (!suspects.includes(part)) recordCleared(part)
    const isKnown = found.some((one) => one.parts.every((part) => suspects.includes(part)))
    if (suspects.length > 0 && !isKnown) found = [...found, { parts: suspects, at, probe: -1 }].slice(-MAX_CRASHES)
  }

  function recordCleared (part: bigint): void {
    cleared.set(part, clock.now() + NOTICE_MS)
  }

  /** Returns whether a part was refused until then. */
  function markAnswered (part: bigint, at: number): boolean {
    if ((answered.get(part) ?? -Infinity) < at) answered.set(part, at)
    const refused = found.filter((one) => at > one.at && one.parts.includes(part))
    for (const one of refused) {
      one.parts = one.parts.filter((other) => other !== part)
      if (one.parts.length === 0) log.info({ part: toHex(part) }, 'prompt part is answered again')
    }
    if (refused.length === 0) return false
    found = found.filter(({ parts }) => parts.length > 0)
    recordCleared(part)
    return true
  }

  /** A crash after the parts were found is the outcome of the probe that was due then, whichever instance sent it. */
  function getLatestProbe (one: Found): number {
    const probes = crashes
      .filter(({ at, prompts }) => at > one.at && prompts.some(({ parts }) => hasAllParts(parts, one)))
      .map(({ at }) => findDueProbe(at - one.at, -1) ?? -1)
    return Math.max(one.probe, ...probes)
  }

  function findMatch (headers: RawHeaders): Found | undefined {
    if (found.length === 0) return undefined
    const now = clock.now()
    found = found.filter(({ at }) => now - at <= keepMs)
    return found.find((one) => hasAllParts(getParts(headers), one))
  }

  function isPromptRefused (request: CallerRequest): boolean {
    const since = clock.now() - keepMs
    if (crashes.some(({ at }) => at < since)) crashes = crashes.filter(({ at }) => at >= since)
    return crashes.length > 0 && isCrashingPrompt(crashes, getPromptId(request))
  }

  function recordCrash (targetId: string, request: CallerRequest, at: number, cause: 'crashed' | 'closed'): void {
    // A process that closes connections speaks against this prompt only, not against what others share with it.
    const prompt = { id: getPromptId(request), parts: cause === 'crashed' ? getParts(request.headers) : [] }
    const isNew = addCrash(hash32(targetId), at, [prompt], clock.now())
    log.info({
      req: request.id,
      target: targetId,
      prompt: toHex(prompt.id),
      parts: prompt.parts.map(toHex),
      cause,
      confirmedMs: Math.round(clock.now() - at),
      crashedTargets: crashes.filter(({ prompts }) => prompts.some(({ id }) => id === prompt.id)).length
    }, 'target broke off as a request began')
    if (!isNew) return
    findCulprits()
    options.onChange()
  }

  return {
    recordPossibleCrash: (target, request, reason) => {
      const at = clock.now()
      options.checks.check(target)
        .then((cause) => {
          const isIdleClose = cause === 'closed' && reason === 'staleConnection'
          if (cause !== 'unknown' && !isIdleClose) recordCrash(target.id, request, at, cause)
        })
        .catch((cause: unknown) => log.error({ target: target.id, cause: describeCause(cause) }, 'crash could not be recorded'))
    },
    recordAnswer: (headers) => {
      const now = clock.now()
      const wereRefused = getParts(headers).map((part) => markAnswered(part, now))
      if (wereRefused.includes(true)) options.onChange()
    },
    isRefused: (request) => findMatch(request.headers) !== undefined || isPromptRefused(request),
    hasCrashingParts: (headers) => findMatch(headers) !== undefined,
    mayProbe: (request) => {
      const match = findMatch(request.headers)
      if (match === undefined || isPromptRefused(request)) return false
      const due = findProbeTurn(clock.now() - match.at, getLatestProbe(match))
      if (due === undefined || !options.isProber(match.parts.map(toHex).join(), due)) return false
      match.probe = due.probe
      log.info({ req: request.id, parts: match.parts.map(toHex), ...due }, 'probing whether parts still crash targets')
      return true
    },
    getReport: () => {
      const now = clock.now()
      const since = now - NOTICE_MS
      const recent = crashes.filter(({ confirmedAt = -Infinity }) => confirmedAt >= since).slice(-MAX_NOTICES)
      const suspects = new Set([
        ...crashes.filter(({ at }) => at >= since).flatMap(({ prompts }) => prompts.flatMap(({ parts }) => parts)),
        ...found.flatMap(({ parts }) => parts),
        ...[...cleared.entries()].flatMap(([part, until]) => until >= now ? [part] : [])
      ])
      const answers = [...suspects].flatMap((part): AnsweredPart[] => {
        const at = answered.get(part)
        return at === undefined ? [] : [{ part, at }]
      })
      return {
        crashes: takeNewest(recent, ({ prompts }) => prompts.reduce((sum, { parts }) => sum + 1 + parts.length, 0))
          .map(({ target, at, prompts }) => ({ target, at, prompts })),
        crashingParts: takeNewest(found.slice(-MAX_NOTICES), ({ parts }) => parts.length)
          .map(({ parts, at }) => ({ parts, at })),
        answeredParts: answers.sort((a, b) => b.at - a.at).slice(0, MAX_NOTICES)
      }
    },
    merge: (report) => {
      for (const { part, at } of report.answeredParts) markAnswered(part, at)
      report.crashingParts.forEach(addFound)
      let isNew = false
      for (const { target, at, prompts } of report.crashes) isNew = addCrash(target, at, prompts) || isNew
      if (isNew) findCulprits()
    },
    restore: (parts) => parts.forEach(addFound)
  }
}

/** Returns the last entries that together have at most `MAX_REPORTED_PARTS` parts, and the last one in any case. */
function takeNewest<Entry> (entries: readonly Entry[], countParts: (entry: Entry) => number): Entry[] {
  let parts = 0
  const first = entries.findLastIndex((entry, index) => {
    parts += countParts(entry)
    return index < entries.length - 1 && parts > MAX_REPORTED_PARTS
  })
  return entries.slice(first + 1)
}

/** Hashes what a resent request has in common with the first: host, path and body; its id differs. */
function hashPrompt (request: CallerRequest): bigint {
  return hash64(`${request.host} ${request.path} ${Buffer.from(request.body).toString('base64')}`)
}

function toHex (hash: bigint): string {
  return hash.toString(16)
}
