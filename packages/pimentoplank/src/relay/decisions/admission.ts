/**
 * Whether a live request that finds no room may wait, and in which order those that wait go on.
 *
 * Load pattern: an overload that lasts a few seconds, such as a burst on top of a step, or a step while targets are
 * lost. A request that can't be answered in time any more is told at once when to come back, which serves its caller
 * sooner than a place at the end of a queue.
 */
import type { Random, RefusalReason } from '../../shared'

export interface AdmissionRules {
  /** Longest expected wait of a request that was refused before, in milliseconds. */
  returningWaitMs: number
  /** Longest wait that a refused caller is asked for, as a share of the time that it has left. */
  retryAfterShare: number
}

export interface AdmissionInput {
  /** Slots of all targets of the service that may be used. */
  slots: number
  /** Requests that wait at this instance. */
  ahead: number
  meanRunMs: number
  leftMs: number
  /** True when the caller was refused before and came back. */
  isReturning: boolean
}

export type Admission =
  | { type: 'wait', expectedMs: number }
  | { type: 'refuse', reason: RefusalReason, expectedMs: number, retryAfterMs: number }

/** Time after which targets that are all gone may be back, in milliseconds. */
const NO_TARGET_RETRY_MS = 500
/** Refused callers come back between this share of the longest wait and all of it, so that they don't come together. */
const RETRY_FROM_SHARE = 0.4

/** Decides on a request that can't be on time: every slot and every queue that is short enough is taken. */
export function decideAdmission (input: AdmissionInput, rules: AdmissionRules, random: Random): Admission {
  const { slots, leftMs } = input
  const spread = RETRY_FROM_SHARE + (1 - RETRY_FROM_SHARE) * random()
  const retryAfterMs = leftMs * rules.retryAfterShare * spread
  if (slots === 0) {
    return { type: 'refuse', reason: 'noTarget', expectedMs: Infinity, retryAfterMs: Math.min(NO_TARGET_RETRY_MS, retryAfterMs) }
  }
  const expectedMs = (input.ahead + 1) * input.meanRunMs / slots
  const mayWait = input.isReturning && expectedMs <= Math.min(rules.returningWaitMs, leftMs)
  return mayWait ? { type: 'wait', expectedMs } : { type: 'refuse', reason: 'queueFull', expectedMs, retryAfterMs }
}

export interface WaitingRequest {
  ask: { arrivedAt: number, endAt: number, isReturning: boolean, route: { priority: number, targetLatencyMs: number } }
}

/**
 * Orders requests that wait: by priority, then those that can still be on time before those that can't, and among
 * each the one with the earlier end first.
 */
export function orderWaiting<Waiting extends WaitingRequest> (waiting: readonly Waiting[], now: number): Waiting[] {
  return [...waiting].sort((a, b) =>
    a.ask.route.priority - b.ask.route.priority ||
    Number(isLate(a, now)) - Number(isLate(b, now)) ||
    a.ask.endAt - b.ask.endAt)
}

function isLate ({ ask }: WaitingRequest, now: number): boolean {
  return now > ask.arrivedAt + ask.route.targetLatencyMs
}
