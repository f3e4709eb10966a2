/** A client that balances its own load: caches the instance directory and connects to the instances directly. */
import { createParser } from 'eventsource-parser'
import { Agent, request, type Dispatcher } from 'undici'
import { v7 as uuid } from 'uuid'

export interface CallerOptions {
  /** Addresses that serve the directory before one is cached, and that are used while it is unavailable. */
  seeds: readonly string[]
  /** API key of the client account. */
  key: string
  /** Failure domain whose instances the directory should list first. */
  failureDomain?: string
  /** Returns a number in [0, 1); seeded in experiments. */
  random?: () => number
  now?: () => number
}

export interface LiveRequest {
  model: string
  prompt: string
  maxTokens: number
  requestId?: string
  timeoutMs?: number
  headers?: Record<string, string>
  /** Sends to this address instead of one from the directory. */
  address?: string
  signal?: AbortSignal
}

/** A live response as the caller observed it. Times are in milliseconds from the start of the request. */
export interface LiveResponse {
  status: number
  requestId: string
  /** True when the stream ended with `[DONE]` and carried no error. */
  isComplete: boolean
  text: string
  tokens: number
  firstTokenMs?: number
  tokenGapsMs: number[]
  totalMs: number
  /** Reason from the problem details, or from an error event in the stream. */
  reason?: string
  outcome?: string
  retryAfterMs?: number
  /** Error message when the connection or the stream failed, such as a refused connection. */
  failure?: string
}

export interface Caller {
  /** Returns the addresses from the cached directory, or the seeds when it can't be read. */
  getAddresses: () => Promise<readonly string[]>
  /** Sends one streaming chat completion to one of the addresses; never rejects. */
  chat: (req: LiveRequest) => Promise<LiveResponse>
  /** Sends any request to one of the addresses. */
  send: (path: string, options: SendOptions) => Promise<Dispatcher.ResponseData>
  close: () => Promise<void>
}

interface SendOptions {
  method: Dispatcher.HttpMethod
  headers?: Record<string, string>
  body?: Dispatcher.DispatchOptions['body']
  address?: string
  signal?: AbortSignal
}

interface DirectoryResponse {
  instances: Array<{ address: string, failureDomain: string }>
  maxAgeMs: number
}

interface CachedDirectory {
  addresses: readonly string[]
  expiresAt: number
}

/** How long the seeds are used before the next try to read the directory, and timeout of one read, in milliseconds. */
const SEED_LIFETIME_MS = 1000
/** Requests are spread over this many of the first addresses. */
const MAX_SPREAD = 3

/** Creates a caller for one client account. */
export function createCaller (options: CallerOptions): Caller {
  const now = options.now ?? (() => performance.now())
  const random = options.random ?? Math.random
  const agent = new Agent({ connections: null, keepAliveTimeout: 10_000, headersTimeout: 0, bodyTimeout: 0 })
  let cached: CachedDirectory | undefined
  let pendingRead: Promise<CachedDirectory> | undefined

  async function readDirectory (): Promise<CachedDirectory> {
    const query = options.failureDomain === undefined ? '' : `?failureDomain=${options.failureDomain}`
    for (const address of [...(cached?.addresses ?? []), ...options.seeds]) {
      try {
        const res = await request(`http://${address}/v1/instances${query}`, {
          dispatcher: agent,
          headers: { authorization: `Bearer ${options.key}` },
          signal: AbortSignal.timeout(SEED_LIFETIME_MS)
        })
        const body = await res.body.json() as DirectoryResponse
        if (res.statusCode !== 200 || body.instances.length === 0) continue
        return { addresses: body.instances.map((instance) => instance.address), expiresAt: now() + body.maxAgeMs }
      } catch {
        // The next address is tried.
      }
    }
    return { addresses: options.seeds, expiresAt: now() + SEED_LIFETIME_MS }
  }

  async function addresses (): Promise<readonly string[]> {
    if (cached !== undefined && cached.expiresAt > now()) return cached.addresses
    pendingRead ??= readDirectory().finally(() => { pendingRead = undefined })
    cached = await pendingRead
    return cached.addresses
  }

  async function pickAddress (): Promise<string> {
    const known = await addresses()
    return known[Math.floor(random() * Math.min(MAX_SPREAD, known.length))]!
  }

  async function send (path: string, sendOptions: SendOptions): Promise<Dispatcher.ResponseData> {
    const address = sendOptions.address ?? await pickAddress()
    return await request(`http://${address}${path}`, {
      dispatcher: agent,
      method: sendOptions.method,
      headers: { authorization: `Bearer ${options.key}`, ...sendOptions.headers },
      body: sendOptions.body,
      signal: sendOptions.signal
    })
  }

  async function chat (req: LiveRequest): Promise<LiveResponse> {
    const response = createEmptyResponse(req.requestId ?? uuid())
    const startedAt = now()
    try {
      const res = await send('/v1/chat/completions', toSendOptions(req, response.requestId))
      response.status = res.statusCode
      if (res.statusCode === 200) await readStream(res, response, startedAt, now)
      else readProblem(await res.body.text(), response)
    } catch (cause) {
      response.failure = cause instanceof Error ? cause.message : String(cause)
      // The instance may be gone, so the directory is read again before the next request.
      cached = undefined
    }
    response.totalMs = now() - startedAt
    return response
  }

  return { getAddresses: addresses, chat, send, close: async () => await agent.destroy() }
}

function createEmptyResponse (requestId: string): LiveResponse {
  return { status: 0, requestId, isComplete: false, text: '', tokens: 0, tokenGapsMs: [], totalMs: 0 }
}

function toSendOptions (req: LiveRequest, requestId: string): SendOptions {
  return {
    method: 'POST',
    address: req.address,
    signal: req.signal,
    headers: {
      'content-type': 'application/json',
      'x-request-id': requestId,
      ...(req.timeoutMs === undefined ? {} : { 'x-request-timeout-ms': String(req.timeoutMs) }),
      ...req.headers
    },
    body: JSON.stringify({
      model: req.model,
      messages: [{ role: 'user', content: req.prompt }],
      max_tokens: req.maxTokens,
      stream: true
    })
  }
}

async function readStream (
  res: Dispatcher.ResponseData,
  response: LiveResponse,
  startedAt: number,
  now: () => number
): Promise<void> {
  let lastTokenAt: number | undefined
  const parser = createParser({
    onEvent: (event) => {
      if (event.data === '[DONE]') {
        response.isComplete = response.reason === undefined
        return
      }
      const text = readChunk(event.data, response)
      if (text === '') return
      const at = now()
      response.firstTokenMs ??= at - startedAt
      if (lastTokenAt !== undefined) response.tokenGapsMs.push(at - lastTokenAt)
      lastTokenAt = at
      response.tokens++
      response.text += text
    }
  })
  const decoder = new TextDecoder()
  for await (const bytes of res.body) parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }))
}

function readChunk (data: string, response: LiveResponse): string {
  const chunk = JSON.parse(data) as {
    reason?: string
    error?: { reason?: string }
    choices?: Array<{ delta?: { content?: string }, text?: string }>
  }
  response.reason = chunk.error?.reason ?? chunk.reason ?? response.reason
  const choice = chunk.choices?.[0]
  return choice?.delta?.content ?? choice?.text ?? ''
}

function readProblem (text: string, response: LiveResponse): void {
  const problem = JSON.parse(text) as { reason?: string, outcome?: string, retryAfterMs?: number }
  response.reason = problem.reason
  response.outcome = problem.outcome
  response.retryAfterMs = problem.retryAfterMs
}
