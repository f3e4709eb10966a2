/** What a relaying instance handles: routes, targets, requests of callers and answers of targets. */

/** Header names and values in turn, in the order and spelling in which they came. */
export type RawHeaders = string[]

export const ROUTE_KINDS = ['safe', 'once', 'stream', 'batch'] as const
/**
 * - `safe`: may run more than once
 * - `once`: runs at most once for each attempt of the caller
 * - `stream`: answered by a series of events
 * - `batch`: takes jobs whose items run later
 */
export type RouteKind = typeof ROUTE_KINDS[number]

export interface WeightedService {
  service: string
  weight: number
}

/** Says which requests go to which service, and how they may be handled. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  services: readonly WeightedService[]
  /** Longest time that a request may be kept waiting for its answer, in milliseconds. */
  timeoutMs: number
  /** Time within which an answer is on time, in milliseconds; for streams to the first event. */
  targetLatencyMs: number
  /** Longest pause between events of an answer that is on time, in milliseconds. */
  targetGapMs: number
  /** 0 is served first. */
  priority: number
  /** Most targets that may run one attempt of a caller. */
  maxAttempts: number
  /** True when a broken stream may go on at another target. */
  isResumable: boolean
  /** Only for batch routes. */
  batch?: BatchRules
}

export interface BatchRules {
  /** Time from the first submission to when results are due, in milliseconds. */
  completionTargetMs: number
  /** Time from the first submission after which an item may be given up, in milliseconds. */
  retentionMs: number
  /** Most tokens of items that may wait on the route over all instances; 0 for no limit. */
  maxWaitingTokens: number
}

export interface Service {
  name: string
  /** Most connections that one target takes from all instances together. */
  maxConnections: number
  /** Requests that a target runs at once; undefined when the configuration names none. */
  slots?: number
}

/** What the operator allows callers to send. */
export interface CallerLimits {
  maxBodyBytes: number
  /** Time in which a request's headers must be there, in milliseconds. */
  headerTimeoutMs: number
  /** Time after which an unused connection is closed, in milliseconds. */
  idleTimeoutMs: number
}

/** The configuration in force. */
export interface RelayConfig {
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, Service>
  limits: CallerLimits
}

export const TARGET_STATES = ['ready', 'leaving'] as const
export type TargetState = typeof TARGET_STATES[number]

/** A model engine or plain service that requests are relayed to. */
export interface Target {
  id: string
  service: string
  /** IP number and port. */
  address: string
  failureDomain: string
  /** Requests that it runs at once. */
  slots: number
  state: TargetState
}

/** A request of a caller. */
export interface CallerRequest {
  /** Unique for each attempt of the caller. */
  id: string
  host: string
  method: string
  /** Path and query as they came. */
  path: string
  /** Headers that are passed on to a target. */
  headers: RawHeaders
  body: Uint8Array
  /** Time that the caller will wait, in milliseconds; undefined when it did not say. */
  deadlineMs?: number
  /** Id of the last event that the caller has of this stream. */
  lastEventId?: number
}

/** One send of a request to a target. */
export interface TargetSend {
  request: CallerRequest
  target: Target
  /** Time that is left, in milliseconds; undefined for no limit. */
  deadlineMs?: number
  /** Event after which the target is to go on. */
  lastEventId?: number
}

/** What a target says of its load. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
}

/** Head of a target's answer. */
export interface AnswerHead {
  status: number
  /** Headers that are passed on to the caller. */
  headers: RawHeaders
  /** Request that the target says it answers. */
  requestId?: string
  /** True when the target states that it did not run the request. */
  isNotRun: boolean
  /** True when another target has the address now; the request did not run. */
  isOtherTarget: boolean
  /** True when the answer carries the proof that a target made it. */
  isSigned: boolean
  load?: ReportedLoad
}

/** How requests are written for targets, and how their answers are read. */
export interface TargetProtocol {
  /** Headers of a send, those of the caller's request included. */
  encodeHeaders: (send: TargetSend) => RawHeaders
  decodeHead: (status: number, headers: RawHeaders) => AnswerHead
}
