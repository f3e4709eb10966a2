/** Data model of the relay: routes, services, targets, caller requests and target responses. */

/** Alternating header names and values, in their original order and spelling. */
export type RawHeaders = string[]

export const ROUTE_KINDS = ['safe', 'once', 'stream', 'batch'] as const
/**
 * - `safe`: idempotent; may run more than once
 * - `once`: runs at most once for each attempt of the caller
 * - `stream`: answered by a stream of events
 * - `batch`: accepts jobs whose items run later
 */
export type RouteKind = typeof ROUTE_KINDS[number]

export interface WeightedService {
  service: string
  weight: number
}

/** Maps requests to services and defines their timeouts, latency targets and retry limits. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  services: readonly WeightedService[]
  /** Upper bound of the time from arrival to the end of the response, in milliseconds. */
  timeoutMs: number
  /** Latency target of a response, in milliseconds; for streams, until the first event. */
  targetLatencyMs: number
  /** Latency target of the gap between two events of a stream, in milliseconds. */
  targetGapMs: number
  /** Lower numbers are served first, beginning with 0. */
  priority: number
  /** Maximum number of targets that may run one attempt of a caller. */
  maxAttempts: number
  /** True when an interrupted stream may resume at another target. */
  isResumable: boolean
  /** Set only for batch routes. */
  batch?: BatchRules
}

export interface BatchRules {
  /** Time from the first submission until results are due, in milliseconds. */
  completionTargetMs: number
  /** Time from the first submission after which an unfinished item may expire, in milliseconds. */
  retentionMs: number
  /** Maximum tokens of unfinished items on the route, summed over all instances; 0 for no limit. */
  maxWaitingTokens: number
}

export interface Service {
  name: string
  /** Maximum connections that one target accepts from all instances together. */
  maxConnections: number
  /** Requests that a target runs concurrently; undefined when not configured. */
  slots?: number
}

/** Limits on caller connections and requests, set by the operator. */
export interface CallerLimits {
  /** Maximum size of all header fields of a request, in bytes. */
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Time within which all request headers must arrive, in milliseconds. */
  headerTimeoutMs: number
  /** Time after which an idle connection is closed, in milliseconds. */
  idleTimeoutMs: number
}

/** Active configuration. */
export interface RelayConfig {
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, Service>
  limits: CallerLimits
}

export const TARGET_STATES = ['ready', 'leaving'] as const
export type TargetState = typeof TARGET_STATES[number]

/** Model engine or plain service that receives relayed requests. */
export interface Target {
  id: string
  service: string
  /** IP number and port. */
  address: string
  failureDomain: string
  /**
   * Version of its software; tells nothing of the weights, and versions have no order. What two versions write does
   * not fit together.
   */
  version: string
  /**
   * When its process started, in milliseconds by its own clock. A process that starts again under the same id tells
   * another time. Undefined where the entry does not tell; then any process at the address counts as the listed one.
   */
  startedAt?: number
  /** Requests that it runs concurrently. */
  slots: number
  state: TargetState
}

/** Request received from a caller. */
export interface CallerRequest {
  /** Unique for each attempt of the caller. */
  id: string
  host: string
  method: string
  /** Path and query, unmodified. */
  path: string
  /** Headers forwarded to the target. */
  headers: RawHeaders
  body: Uint8Array
  /** Remaining time until the caller's deadline, in milliseconds; undefined when none was given. */
  deadlineMs?: number
  /** Id of the last event of this stream that the caller received. */
  lastEventId?: number
  /** Id of the attempt that brought the first event of the stream that the caller takes up. */
  resumes?: string
}

/** Caller request as it is sent to one target. */
export interface TargetRequest {
  request: CallerRequest
  target: Target
  /** Remaining time, in milliseconds; undefined for no limit. */
  deadlineMs?: number
  /** Id of the event after which the target resumes the stream. */
  lastEventId?: number
  /** Called once there is a connection, which may take long; the request is sent only if it returns true. */
  mayStillSend?: () => boolean
}

/** Which process of a target a request may reach. */
export interface ProcessNeed {
  /** True when only the process that the target's entry describes may get the request. */
  mustBeListed: boolean
  /**
   * Called before the request is sent.
   *
   * @param startedAt - when the process at the address started; undefined if it does not tell
   */
  onIdentified?: (startedAt: number | undefined) => void
}

/** Load that a target reports with its response. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
}

/** What a process of a target says of itself. */
export interface ProcessState {
  /** When it started, in milliseconds by its own clock; undefined if it does not tell. */
  startedAt?: number
  /**
   * Requests that it runs; undefined if it does not list them. Some processes tell what was true a few hundred
   * milliseconds ago.
   */
  runs?: readonly ProcessRun[]
}

/** A request that a process runs. */
export interface ProcessRun {
  /** Id of the request. */
  id: string
  /** Number of events made so far. */
  events: number
}

/** Status and headers of a target's response. */
export interface AnswerHead {
  status: number
  /** Headers forwarded to the caller. */
  headers: RawHeaders
  /** Id of the request that the target reports to have answered. */
  requestId?: string
  /** True when the target states that it did not run the request. */
  isNotRun: boolean
  /** True when the address now belongs to another target; the request did not run. */
  isOtherTarget: boolean
  /** True when the response carries a signature that shows it comes from a target. */
  isSigned: boolean
  /** True when the target says that it leaves, which its entry may not tell. */
  isLeaving: boolean
  load?: ReportedLoad
  /** Requests a second that the target takes from all instances together; undefined when it names no limit. */
  limitPerSecond?: number
}

/** Encoding of requests to targets and decoding of their responses. */
export interface TargetProtocol {
  /** Encodes the request headers, including those of the caller's request. */
  encodeHeaders: (send: TargetRequest) => RawHeaders
  /** Decodes status and headers of a response. */
  decodeHead: (status: number, headers: RawHeaders) => AnswerHead
  /** Call by which a target tells its state; takes no slot. */
  state: {
    path: string
    /** Decodes what the body tells; nothing if it can't be read. */
    decode: (body: string) => ProcessState
  }
}
