/** Live requests of callers, who retry refused ones and take up streams that broke off or that they left. */
import type { Agent } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { PATHS, send, type Answer } from 'pimentoplank-platform/testing'
import type { SoakInstance } from './soakFleet'

export type LiveKind = 'resumable' | 'once' | 'plain' | 'plainOnce'

/** One attempt of a live request. */
export interface Attempt {
  id: string
  /** Id of the request, which all of its attempts share. */
  request: string
  kind: LiveKind
  instance: SoakInstance
  /** Id of the last event that earlier attempts brought; 0 for a new stream. */
  from: number
  sentAt: number
  endedAt: number
  /** True if the caller closed the connection by itself. */
  hasLeft: boolean
  /** Undefined when the connection ended without a response. */
  answer?: Answer
}

export interface StreamEvent {
  id: number
  data: string
}

export interface LiveRequest {
  id: string
  kind: LiveKind
  /** Number of events after which the caller leaves its first answer; undefined if it stays. */
  leavesAfter?: number
  /** Called as the caller leaves. */
  onLeave?: (instance: SoakInstance) => void
  createPrompt: (id: string) => Record<string, string>
  pickInstance: () => SoakInstance | undefined
  /** Picks an instance other than the one of the last attempt, if there is one. */
  pickOther: (last: SoakInstance) => SoakInstance | undefined
  getAgent: (instance: SoakInstance) => Agent
}

export const DEADLINE_MS = 4000
/** Statuses that guarantee that a request has not run and never will. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
export const HTTP_OK = 200
const MAX_ATTEMPTS = 3
/** Attempts of a stream, which is taken up until it is whole. */
const MAX_STREAM_ATTEMPTS = 5
const DEFAULT_RETRY_S = 0.1
const MAX_RETRY_MS = 1000
const ANSWER_TIMEOUT_MS = DEADLINE_MS + 1500
/** Number of bytes of an answer that are kept; instances pass on those of a target that sends bytes without end. */
export const KEEP_BYTES = 65_536
const EVENT = /^id: (\d+)\ndata: (.*)$/

/** Returns the complete events of a body; one that broke off is left out. */
export function readEvents (body: string): StreamEvent[] {
  return body.split('\n\n').slice(0, -1).map((text) => {
    const match = EVENT.exec(text)
    return { id: Number(match?.[1]), data: match?.[2] ?? text }
  })
}

/** Sends a request until it is answered; passes on each attempt as it ends. */
export async function sendLiveRequest (request: LiveRequest, record: (attempt: Attempt) => void): Promise<void> {
  const { kind } = request
  let held = 0
  let resumes: string | undefined
  let last: SoakInstance | undefined
  for (let count = 0; count < (held > 0 ? MAX_STREAM_ATTEMPTS : MAX_ATTEMPTS); count++) {
    const instance = last !== undefined && held > 0 ? request.pickOther(last) : request.pickInstance()
    if (instance === undefined) return
    const attempt = await sendAttempt(request, { count, instance, from: held, resumes })
    record(attempt)
    const { answer } = attempt
    if (kind === 'resumable' && answer?.status === HTTP_OK) {
      held = readEvents(answer.body).at(-1)?.id ?? held
      if (held > 0) resumes ??= attempt.id
    }
    const isRefused = answer !== undefined && NOT_RUN_STATUSES.has(answer.status)
    const isBroken = held > 0 && answer?.isWhole !== true
    if (!isRefused && !isBroken) return
    last = instance
    const retryS = Number(answer?.headers['retry-after'] ?? DEFAULT_RETRY_S)
    if (answer?.status !== HTTP_OK) await pause(Math.min(MAX_RETRY_MS, retryS * 1000))
  }
}

async function sendAttempt (
  { id: request, kind, leavesAfter, onLeave, createPrompt, getAgent }: LiveRequest,
  { count, instance, from, resumes }: { count: number, instance: SoakInstance, from: number, resumes?: string }
): Promise<Attempt> {
  const id = `${request}a${count}`
  let hasLeft = false
  const sentAt = Date.now()
  const sent = send(instance, `${PATHS[kind]}${request}`, {
    id,
    deadlineMs: DEADLINE_MS,
    keepBytes: KEEP_BYTES,
    headers: {
      ...createPrompt(id), ...(resumes === undefined ? {} : { 'Last-Event-Id': String(from), Resumes: resumes })
    },
    agent: count === 0 ? getAgent(instance) : undefined,
    shouldLeave: (body) => {
      hasLeft = from === 0 && leavesAfter !== undefined && readEvents(body).length >= leavesAfter
      if (hasLeft) onLeave?.(instance)
      return hasLeft
    }
  }).catch(() => undefined)
  const answer = await withTimeout(sent, ANSWER_TIMEOUT_MS)
  return { id, request, kind, instance, from, sentAt, endedAt: Date.now(), hasLeft, answer }
}

/** Resolves to undefined after the timeout, in milliseconds. */
export async function withTimeout<Value> (work: Promise<Value>, ms: number): Promise<Value | undefined> {
  return await Promise.race([work.catch(() => undefined), pause(ms).then(() => undefined)])
}
