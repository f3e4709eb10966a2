/**
 * Admission control: whether a live request that finds no capacity may wait, and in which order waiting requests are
 * served.
 *
 * Load pattern: an overload that lasts a few seconds, such as a burst on top of a step, or a step while targets are
 * lost. A request that can no longer meet its latency target is refused at once with a retry delay, which serves its
 * caller sooner than a place at the end of a queue.
 */
import type { Random, RefusalReason } from '../../shared'

export interface AdmissionRules {
  /** Longest expected wait with which a retried request is queued, in milliseconds. */
  maxReturningWaitMs: number
  /** Longest retry delay of a refusal, as a share of the time until the caller's deadline. */
  maxRetryAfterShare: number
}

export interface AdmissionInput {
  /** Total slots of the usable targets of the service. */
  slots: number
  /** Requests for the service that wait at this instance already. */
  queueLength: number
  /** Mean time that a request occupies a slot, in milliseconds. */
  meanRunMs: number
  /** Time until the request's deadline, in milliseconds. */
  remainingMs: number
  /** True when the caller retries after a refusal. */
  isReturning: boolean
  /** True when a target has run the request; a refusal would discard its answer so far. */
  isContinuation: boolean
}

export type Admission =
  | { type: 'wait', expectedMs: number }
  | { type: 'refuse', reason: RefusalReason, expectedMs: number, retryAfterMs: number }

/** Longest retry delay while the service has no usable target, in milliseconds. */
const NO_TARGET_RETRY_MS = 500
/** Jitter: retry delays lie between this share of the longest delay and all of it, so that retries don't coincide. */
const MIN_RETRY_SHARE = 0.4

/**
 * Decides on a request that can't meet its latency target: all slots are in use and all target queues are too long. A
 * request that has run waits for as long as its caller does.
 */
export function decideAdmission (input: AdmissionInput, rules: AdmissionRules, random: Random): Admission {
  const { slots, remainingMs } = input
  const spread = MIN_RETRY_SHARE + (1 - MIN_RETRY_SHARE) * random()
  const retryAfterMs = remainingMs * rules.maxRetryAfterShare * spread
  if (slots === 0) {
    return {
      type: 'refuse', reason: 'noTarget', expectedMs: Infinity, retryAfterMs: Math.min(NO_TARGET_RETRY_MS, retryAfterMs)
    }
  }
  const expectedMs = (input.queueLength + 1) * input.meanRunMs / slots
  const isShort = input.isReturning && expectedMs <= Math.min(rules.maxReturningWaitMs, remainingMs)
  return input.isContinuation || isShort ? { type: 'wait', expectedMs } : { type: 'refuse', reason: 'queueFull', expectedMs, retryAfterMs }
}

export interface WaitingRequest {
  ask: {
    arrivedAt: number
    endAt: number
    isReturning: boolean
    isContinuation: boolean
    route: { priority: number, targetLatencyMs: number }
  }
}

/**
 * Orders waiting requests: by priority, then those that have run before new ones, then those that can still meet their
 * latency target before those that can't, then by deadline.
 */
export function orderWaiting<Waiting extends WaitingRequest> (waiting: readonly Waiting[], now: number): Waiting[] {
  return [...waiting].sort((a, b) =>
    a.ask.route.priority - b.ask.route.priority ||
    Number(b.ask.isContinuation) - Number(a.ask.isContinuation) ||
    Number(isLate(a, now)) - Number(isLate(b, now)) ||
    a.ask.endAt - b.ask.endAt)
}

function isLate ({ ask }: WaitingRequest, now: number): boolean {
  return now > ask.arrivedAt + ask.route.targetLatencyMs
}
