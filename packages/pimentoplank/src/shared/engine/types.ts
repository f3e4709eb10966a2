/** Types of the client of model engines. */
import type { ResultAsync } from 'neverthrow'
import type { Target } from '../membership'
import type { RunVersion } from './softwareVersion'

/** A position from which an engine can resume a stream. */
export interface ResumePoint {
  /** Id of the stream on the engine that ran it. */
  streamId: string
  /** Target that stores the state of the stream. */
  targetId: string
  /** Number of tokens received so far. */
  tokens: number
  /** Text received so far, which another engine continues. */
  text: string
  /** Version of the software that generated the text. */
  softwareVersion: RunVersion
}

export interface EngineRequest {
  requestId: string
  kind: 'chat' | 'completion'
  /** The caller's request body; the client adds `stream` and `resume`. */
  body: Readonly<Record<string, unknown>>
  resume?: ResumePoint
  /** Only attaches to the running stream of `resume` and never starts a second run; for at-most-once items. */
  attachOnly?: boolean
}

export interface EngineStartOptions {
  signal?: AbortSignal
  /** Timeout until the first token, in milliseconds; that of the client when absent. */
  firstTokenTimeoutMs?: number
}

/** An event of a stream. Tokens arrive in order and without duplicates. */
export type EngineEvent =
  | { type: 'token', index: number, text: string }
  | { type: 'end', finishReason: string, promptTokens: number, completionTokens: number }

/** A running stream. Reading it never throws: a broken stream ends with an `EngineError` as the result. */
export interface EngineStream {
  streamId: string
  /** Version of the engine's software, if its answer states one. */
  softwareVersion?: string
  /**
   * Resolves with the next event, or with the error that ended the stream. After `streamSilent`, the stream stays
   * open, and the next call waits again.
   */
  next: () => ResultAsync<EngineEvent, EngineError>
  /** Closes the connection; the engine keeps the stream running for a short time. */
  disconnect: () => void
  /** Cancels the stream on the engine and frees its slot; the engine keeps the state to resume it for a while. */
  cancel: () => Promise<void>
}

export const ENGINE_ERROR_KINDS = [
  'connectFailed', 'targetLeaving', 'targetBusy', 'modelNotLoaded', 'rejected', 'targetError', 'streamCut',
  'streamSilent', 'otherVersion', 'aborted'
] as const
export type EngineErrorKind = typeof ENGINE_ERROR_KINDS[number]

export interface EngineErrorOptions {
  reached: boolean
  status?: number
  detail?: string
  cause?: unknown
}

/** A request to an engine that failed or was refused. */
export class EngineError extends Error {
  readonly kind: EngineErrorKind
  /** True when the engine may have started to run the request. */
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
  /** Starts a request, or resumes one; resolves when the engine has accepted it. */
  start: (
    target: Target,
    req: EngineRequest,
    options?: EngineStartOptions
  ) => ResultAsync<EngineStream, EngineError>
  /** Tells whether the target accepts connections, to distinguish a crashed target from a broken stream. */
  probe: (target: Target) => Promise<boolean>
  close: () => Promise<void>
}
