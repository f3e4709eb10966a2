/** HTTP connections to targets that know whether any byte of a request was sent. */
import { Agent, type Dispatcher } from 'undici'
import { SECOND_MS } from '../constants'

const DEFAULT_CONNECT_TIMEOUT_MS = 2 * SECOND_MS
const NO_LIMIT = 0

/** Tells whether a request has begun to go out on a connection. */
export interface SendMark {
  sent: boolean
}

export interface TargetAgentOptions {
  /** Limit for making a connection, in milliseconds. */
  connectTimeoutMs?: number
}

export interface TargetRequest {
  /** IP number and port. */
  address: string
  path: string
  method: string
  headers?: Record<string, string | string[]>
  body?: string | Uint8Array
  signal?: AbortSignal
  /** Set to sent right before the first byte goes out. */
  mark?: SendMark
}

export interface TargetAgent {
  /** Sends a request; rejects when there is no answer. */
  request: (req: TargetRequest) => Promise<Dispatcher.ResponseData>
  close: () => Promise<void>
}

type MarkedOptions = Dispatcher.DispatchOptions & { mark?: SendMark }

/** Creates connections to targets that nobody else shares. Time limits for answers are the caller's. */
export function createTargetAgent (options: TargetAgentOptions = {}): TargetAgent {
  const agent = new Agent({
    connect: { timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
    pipelining: 1,
    headersTimeout: NO_LIMIT,
    bodyTimeout: NO_LIMIT
  })
  const marking = agent.compose(markDispatch)

  return {
    request: async ({ address, mark, ...rest }) => {
      const options = { ...rest, origin: `http://${address}`, mark }
      return await marking.request(options as Dispatcher.RequestOptions)
    },
    close: async () => await agent.destroy()
  }
}

/** True when an error shows that no connection was made. */
export function isConnectFailure (cause: unknown): boolean {
  const code = (cause as { code?: string } | undefined)?.code ?? ''
  return CONNECT_FAILURE_CODES.has(code)
}

const CONNECT_FAILURE_CODES = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Interceptor that sets the `mark` of a request right before its first byte goes out. */
export function markDispatch (dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
  return (options, handler) => {
    const { mark } = options as MarkedOptions
    return dispatch(options, mark === undefined ? handler : markHandler(handler, mark))
  }
}

function markHandler (handler: Dispatcher.DispatchHandler, mark: SendMark): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (...args) => {
      mark.sent = true
      handler.onRequestStart?.(...args)
    },
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args)
  }
}
