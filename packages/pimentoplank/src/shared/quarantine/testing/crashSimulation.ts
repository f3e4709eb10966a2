/**
 * Simulates crash attribution in virtual time: requests with shared prompt parts on a fleet whose targets crash. Some
 * parts crash them, or they crash for another reason.
 */
import { findCrashingParts, type TargetCrash } from '..'
import { createSeededRandom } from '../../../relay/decisions/testing/seededRandom'

export interface CrashPattern {
  targets: number
  /** Sound requests per second. */
  soundPerSecond: number
  /** Requests per second with one of the crashing parts. */
  badPerSecond: number
  /** Number of different crashing parts. */
  badParts: number
  /** Number of parts that sound requests share, some of them seldom. */
  sessions: number
  /** Times at which targets crash without a culprit, and the share of them, in milliseconds. */
  losses: ReadonlyMap<number, number>
  /** Mean time from the arrival at a target to the beginning of the answer, in milliseconds. */
  beginMs: number
  /** Time until a crashed target is back, in milliseconds. */
  downMs: number
}

export interface CrashOutcome {
  sound: number
  refusedSound: number
  /** Largest number of requests with one crashing part that reached targets after `GRACE_MS`. */
  late: number
  /** Number of refusals that name no crashing part. */
  wrong: number
}

interface Request {
  id: string
  parts: string[]
  tries: number
  beginsAt: number
}

interface Target {
  id: string
  upAt: number
  requests: Request[]
}

const LENGTH_MS = 25_000
/** Sound requests are answered for this long before the first crash. */
const WARM_UP_MS = 3000
const STEP_MS = 10
const RUN_MS = 700
const SLOTS = 8
const SLOT_WAIT_MS = 100
/** Tries of a request, those of its caller included. */
const MAX_TRIES = 4
const RETRY_MS = 20
const MS_PER_S = 1000
const COMMON_PARTS = 2
/** A part must be found within this time after this many crashes, in milliseconds; given by the platform. */
const GRACE_MS = 3000
const GRACE_CRASHES = 5

function findBadPart ({ parts }: Request): string | undefined {
  return parts.find((part) => part.startsWith('bad'))
}

export function simulateCrashes (pattern: CrashPattern, seed: number): CrashOutcome {
  const random = createSeededRandom(seed)
  const outcome: CrashOutcome = { sound: 0, refusedSound: 0, late: 0, wrong: 0 }
  const answered = new Map<string, number>()
  const crashTimes = new Map<string, number[]>()
  const lateByPart = new Map<string, number>()
  const crashes: Array<TargetCrash<string>> = []
  let found: string[][] = []
  let retries: Array<{ at: number, request: Request }> = []
  let count = 0
  let now = 0
  const targets = Array.from({ length: pattern.targets }, (): Target => ({ id: createId(), upAt: 0, requests: [] }))

  function createId (): string {
    return `x${count++}`
  }

  function isRefused ({ parts }: Request): boolean {
    return found.some((one) => one.every((part) => parts.includes(part)))
  }

  function place (request: Request): void {
    const available = targets.filter(({ upAt }) => upAt <= now)
    if (available.length === 0 || isRefused(request)) return
    const target = available.reduce((a, b) => b.requests.length < a.requests.length ? b : a)
    const waitMs = Math.max(0, target.requests.length - SLOTS) * SLOT_WAIT_MS
    request.beginsAt = now + pattern.beginMs * (0.5 + random()) + waitMs
    target.requests.push(request)
    countLate(findBadPart(request))
  }

  function countLate (bad: string | undefined): void {
    const since = crashTimes.get(bad ?? '')?.[GRACE_CRASHES - 1]
    if (bad !== undefined && since !== undefined && now > since + GRACE_MS) {
      lateByPart.set(bad, (lateByPart.get(bad) ?? 0) + 1)
    }
  }

  function crash (target: Target): void {
    const beginning = target.requests.filter(({ beginsAt }) => beginsAt >= now)
    crashes.push({ target: target.id, at: now, prompts: beginning.map(({ id, parts }) => ({ id, parts })) })
    for (const request of target.requests) {
      request.tries += 1
      if (request.tries < MAX_TRIES) retries.push({ at: now + RETRY_MS, request })
    }
    Object.assign(target, { id: createId(), upAt: now + pattern.downMs, requests: [] })
    attribute()
  }

  function attribute (): void {
    for (;;) {
      const unexplained = crashes.filter(({ prompts }) =>
        !prompts.some(({ parts }) => found.some((one) => one.every((part) => parts.includes(part)))))
      const parts = findCrashingParts({ crashes: unexplained, getAnsweredAt: (part) => answered.get(part) })
      if (parts === undefined) return
      if (!parts.some((part) => part.startsWith('bad'))) outcome.wrong += 1
      found.push(parts)
    }
  }

  function answer (request: Request): void {
    for (const part of request.parts) {
      answered.set(part, now)
      found = found.map((one) => one.filter((other) => other !== part)).filter((one) => one.length > 0)
    }
  }

  function run (target: Target): void {
    for (const request of target.requests) {
      if (request.beginsAt > now || request.beginsAt <= now - STEP_MS) continue
      const bad = findBadPart(request)
      if (bad !== undefined) {
        request.beginsAt = now
        crashTimes.set(bad, [...crashTimes.get(bad) ?? [], now])
        crash(target)
        return
      }
      answer(request)
    }
    target.requests = target.requests.filter(({ beginsAt }) => beginsAt > now - RUN_MS)
  }

  function arrive (): void {
    const common = `common${Math.floor(random() * COMMON_PARTS)}`
    const session = `session${Math.floor(pattern.sessions * random() * random())}`
    if (random() < pattern.soundPerSecond * STEP_MS / MS_PER_S) {
      const request = { id: createId(), parts: [common, session], tries: 0, beginsAt: 0 }
      outcome.sound += 1
      if (isRefused(request)) outcome.refusedSound += 1
      place(request)
    }
    if (now >= WARM_UP_MS && random() < pattern.badPerSecond * STEP_MS / MS_PER_S) {
      const bad = `bad${Math.floor(random() * pattern.badParts)}`
      place({ id: createId(), parts: [common, bad, session], tries: 0, beginsAt: 0 })
    }
  }

  for (; now < LENGTH_MS; now += STEP_MS) {
    const due = retries.filter(({ at }) => at <= now)
    retries = retries.filter(({ at }) => at > now)
    due.forEach(({ request }) => place(request))
    const lostShare = pattern.losses.get(now) ?? 0
    for (const target of targets) if (target.upAt <= now && random() < lostShare) crash(target)
    arrive()
    targets.forEach(run)
  }
  outcome.late = Math.max(0, ...lateByPart.values())
  return outcome
}
