/**
 * Whether a live request that finds no room may wait, and in which order those that wait go on.
 *
 * Load pattern: an overload that lasts a few seconds, such as a burst on top of a step, or a step while targets are
 * lost. A request that can't be answered in time any more is told at once when to come back, which serves its caller
 * sooner than a place at the end of a queue.
 */
import type { Random, RefusalReason } from '../../shared'

export interface AdmissionRules {
  /** Share of the target latency that a request may expect to wait. */
  waitShare: number
  /** Longest expected wait of a request that was refused before, in milliseconds. */
  returningWaitMs: number
  /** Longest wait that a refused caller is asked for, as a share of the time that it has left. */
  retryAfterShare: number
}

export interface AdmissionInput {
  /** Slots of all targets of the service that may be used. */
  slots: number
  /** Live requests that wait at targets already. */
  queued: number
  /** Requests that wait at this instance. */
  ahead: number
  meanRunMs: number
  leftMs: number
  targetLatencyMs: number
  /** True when the caller was refused before and came back. */
  isReturning: boolean
}

export type Admission =
  | { type: 'wait', expectedMs: number }
  | { type: 'refuse', reason: RefusalReason, expectedMs: number, retryAfterMs: number }

/** Least time after which a refused caller may come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100
/** Time after which targets that are all gone may be back, in milliseconds. */
const NO_TARGET_RETRY_MS = 500
/** Spread of the times at which refused callers come back. */
const RETRY_SPREAD = 0.5

/** Decides on a request that found no room. */
export function decideAdmission (input: AdmissionInput, rules: AdmissionRules, random: Random): Admission {
  const longestMs = Math.max(MIN_RETRY_AFTER_MS, input.leftMs * rules.retryAfterShare)
  if (input.slots === 0) {
    const retryAfterMs = Math.min(NO_TARGET_RETRY_MS, longestMs)
    return { type: 'refuse', reason: 'noTarget', expectedMs: Infinity, retryAfterMs }
  }
  const expectedMs = (input.queued + input.ahead + 1) * input.meanRunMs / input.slots
  const allowedMs = input.isReturning ? rules.returningWaitMs : input.targetLatencyMs * rules.waitShare
  if (expectedMs <= Math.min(allowedMs, input.leftMs)) return { type: 'wait', expectedMs }
  const spread = 1 + (random() - 0.5) * RETRY_SPREAD
  const retryAfterMs = Math.min(longestMs, Math.max(MIN_RETRY_AFTER_MS, expectedMs * spread))
  return { type: 'refuse', reason: 'queueFull', expectedMs, retryAfterMs }
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
