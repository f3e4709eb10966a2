/** HTTP connections to targets that record whether any byte of a request was sent. */
import { Agent, type Dispatcher } from 'undici'
import { SECOND_MS } from '../constants'
import { createConnector } from './connector'

const DEFAULT_CONNECT_TIMEOUT_MS = 2 * SECOND_MS
const NO_LIMIT = 0

/** Records whether sending a request has started; a request that was not sent can't have run. */
export interface SendMark {
  sent: boolean
}

export interface TargetAgentOptions {
  /** Timeout for establishing a connection, in milliseconds. */
  connectTimeoutMs?: number
}

export interface TargetRequest {
  /** IP address and port. */
  address: string
  path: string
  method: string
  headers?: Record<string, string | string[]>
  body?: string | Uint8Array
  signal?: AbortSignal
  /** `sent` is set to true right before the first byte is sent. */
  mark?: SendMark
}

export interface TargetAgent {
  /** Sends a request; rejects when the connection fails or is closed before the response headers. */
  request: (req: TargetRequest) => Promise<Dispatcher.ResponseData>
  close: () => Promise<void>
}

type MarkedOptions = Dispatcher.DispatchOptions & { mark?: SendMark }

/** Creates an agent with its own connection pool. It has no response timeout; callers set their own. */
export function createTargetAgent (options: TargetAgentOptions = {}): TargetAgent {
  const agent = new Agent({
    connect: createConnector({ timeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS }),
    pipelining: 1,
    headersTimeout: NO_LIMIT,
    bodyTimeout: NO_LIMIT
  })
  const markingAgent = agent.compose(markDispatch)

  return {
    request: async ({ address, mark, ...rest }) => {
      const options = { ...rest, origin: `http://${address}`, mark }
      return await markingAgent.request(options as Dispatcher.RequestOptions)
    },
    close: async () => await agent.destroy()
  }
}

/** Tells whether an error means that no connection was established. */
export function isConnectFailure (cause: unknown): boolean {
  const code = (cause as { code?: string } | undefined)?.code ?? ''
  return CONNECT_FAILURE_CODES.has(code)
}

const CONNECT_FAILURE_CODES = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Interceptor that sets the `mark` of a request right before its first byte is sent. */
export function markDispatch (dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
  return (options, handler) => {
    const { mark } = options as MarkedOptions
    return dispatch(options, mark === undefined ? handler : createMarkingHandler(handler, mark))
  }
}

function createMarkingHandler (handler: Dispatcher.DispatchHandler, mark: SendMark): Dispatcher.DispatchHandler {
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
