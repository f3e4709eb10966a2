/** How the system talks to a model engine. */
import type { ResultAsync } from 'neverthrow'
import type { Target } from '../membership'

/** A point from which an engine can go on with a stream. */
export interface ResumePoint {
  /** Stream id on the engine that ran it. */
  streamId: string
  /** Target that keeps the stream's state. */
  targetId: string
  /** Tokens already received. */
  tokens: number
  /** Text already received; another engine continues after it. */
  text: string
}

export interface EngineRequest {
  requestId: string
  kind: 'chat' | 'completion'
  /** The caller's body; the client sets `stream`. */
  body: Readonly<Record<string, unknown>>
  resume?: ResumePoint
  /** Takes up the running stream of `resume` and never starts a second run; for work that may not be repeated. */
  attachOnly?: boolean
}

export interface EngineStartOptions {
  signal?: AbortSignal
  /** Limit for the first token of this start, in milliseconds; the client's own when absent. */
  firstTokenTimeoutMs?: number
}

/** One event of a stream. Tokens arrive in order and never twice. */
export type EngineEvent =
  | { type: 'token', index: number, text: string }
  | { type: 'end', finishReason: string, promptTokens: number, completionTokens: number }

/** A running stream. Iterating it throws nothing: a broken stream ends with an `EngineError` value. */
export interface EngineStream {
  streamId: string
  /** Next event, or why the stream broke. */
  next: () => ResultAsync<EngineEvent, EngineError>
  /** Stops it on the engine and frees its slot; the engine keeps the resume point for a while. */
  cancel: () => Promise<void>
}

export const ENGINE_ERROR_KINDS = [
  'connectFailed', 'targetLeaving', 'targetBusy', 'modelNotLoaded', 'rejected', 'targetError', 'streamCut',
  'streamSilent', 'aborted'
] as const
export type EngineErrorKind = typeof ENGINE_ERROR_KINDS[number]

export interface EngineErrorOptions {
  reached: boolean
  status?: number
  detail?: string
  cause?: unknown
}

/** Why a request to an engine did not end well. */
export class EngineError extends Error {
  readonly kind: EngineErrorKind
  /** True when the engine may have begun to run the request. */
  readonly reached: boolean
  readonly status: number | undefined

  constructor (kind: EngineErrorKind, options: EngineErrorOptions) {
    super(options.detail ?? kind, { cause: options.cause })
    this.name = 'EngineError'
    this.kind = kind
    this.reached = options.reached
    this.status = options.status
  }
}

export interface EngineClient {
  /** Starts a request; resolves when the engine has accepted it. */
  start: (
    target: Target,
    req: EngineRequest,
    options?: EngineStartOptions
  ) => ResultAsync<EngineStream, EngineError>
  /** True when the target accepts connections; used to tell a crash from a cut stream. */
  probe: (target: Target) => Promise<boolean>
  close: () => Promise<void>
}
