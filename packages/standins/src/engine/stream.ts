/** An answer that the engine stand-in generates, and the connections that read it. */
import type { EngineRun } from './runLog'

export interface StreamRequest {
  requestId: string
  prompt: string
  /** Model name from the request. */
  model: string
  /** Key of the loaded model that serves the request, as `name@version`. */
  modelKey: string
  maxTokens: number
  kind: 'chat' | 'completion'
  /** Number of tokens that the client already has. */
  receivedTokens: number
  /** True when the engine still has the state of the stream to be resumed, which saves the prefill. */
  hasResumableState: boolean
}

export type StreamEndReason = 'done' | 'cancelled' | 'crashed'

/** Receives the tokens of a stream. */
export interface StreamReader {
  /** Called for each token, in order. */
  onToken: (index: number, text: string) => void
  /** Called once, when the stream ends. */
  onEnd: (reason: StreamEndReason) => void
}

export interface Stream {
  id: string
  req: StreamRequest
  getToken: (index: number) => string
  /** Number of tokens so far, including those that the client already had. */
  tokens: number
  state: 'waiting' | 'running' | StreamEndReason
  /** End of the prefill on the engine's clock; valid once the stream has a slot. */
  prefilledAt: number
  run: EngineRun | undefined
  readers: Set<StreamReader>
  /** Aborts the grace period in which a client may reconnect. */
  gracePeriod: AbortController | undefined
}

/** Returns true while the stream runs or waits for a slot. */
export function isActive (stream: Stream): boolean {
  return stream.state === 'waiting' || stream.state === 'running'
}
