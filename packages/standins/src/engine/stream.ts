/** One answer that the engine stand-in makes, and the connections that read it. */
import type { EngineRun } from './runLog'

export interface StreamRequest {
  requestId: string
  prompt: string
  /** Model as named in the request. */
  model: string
  /** The loaded model that answers, as `name@version`. */
  modelKey: string
  maxTokens: number
  kind: 'chat' | 'completion'
  /** Tokens that the caller has already. */
  from: number
  /** True when the engine still keeps the state of the stream that goes on. */
  isKept: boolean
}

export type StreamEnd = 'done' | 'cancelled' | 'crashed'

/** A reader of a stream. */
export interface StreamReader {
  /** Called for each token, in order. */
  token: (index: number, text: string) => void
  /** Called once. */
  end: (reason: StreamEnd) => void
}

export interface Stream {
  id: string
  req: StreamRequest
  token: (index: number) => string
  /** Tokens made so far, those before `req.from` included. */
  tokens: number
  state: 'waiting' | 'running' | StreamEnd
  /** When the first token may come, on the engine's clock; known once it has a slot. */
  readyAt: number
  run: EngineRun | undefined
  readers: Set<StreamReader>
  /** Aborts the wait for a connection to come back. */
  grace: AbortController | undefined
}

/** True while the stream still makes tokens or waits for a slot. */
export function isActive (stream: Stream): boolean {
  return stream.state === 'waiting' || stream.state === 'running'
}
