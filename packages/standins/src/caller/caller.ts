/** A caller as the system expects one: asks which addresses to use, keeps the answer, and connects there itself. */
import { createParser } from 'eventsource-parser'
import { Agent, request, type Dispatcher } from 'undici'
import { v7 as uuid } from 'uuid'

export interface CallerOptions {
  /** Addresses to ask first for the directory. */
  seeds: readonly string[]
  /** Account key. */
  key: string
  /** Failure domain that the caller is near to. */
  failureDomain?: string
  /** Picks a number from 0 up to 1; seeded in experiments. */
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
  /** Address to send to, instead of one from the directory. */
  address?: string
  signal?: AbortSignal
}

/** One live answer, as the caller saw it. Times are in milliseconds from the start of the request. */
export interface LiveAnswer {
  status: number
  requestId: string
  /** True when the stream ended with its end marker. */
  whole: boolean
  text: string
  tokens: number
  firstTokenMs?: number
  tokenGapsMs: number[]
  totalMs: number
  /** Refusal reason of the problem details. */
  reason?: string
  outcome?: string
  retryAfterMs?: number
  /** Why no answer came, such as a refused connection. */
  failure?: string
}

export interface Caller {
  /** Addresses in use, from the directory or from the seeds when it can't be read. */
  addresses: () => Promise<readonly string[]>
  /** Sends one streaming chat completion to one of the addresses. */
  chat: (req: LiveRequest) => Promise<LiveAnswer>
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

interface DirectoryAnswer {
  instances: Array<{ address: string, failureDomain: string }>
  maxAgeMs: number
}

interface KeptDirectory {
  addresses: readonly string[]
  until: number
}

/** Used when the directory can't be read, in milliseconds. */
const SEED_LIFETIME_MS = 1000
/** Callers spread over this many of the addresses that come first. */
const SPREAD = 3

/** Creates a caller of one account. */
export function createCaller (options: CallerOptions): Caller {
  const now = options.now ?? (() => performance.now())
  const random = options.random ?? Math.random
  const agent = new Agent({ connections: null, keepAliveTimeout: 10_000, headersTimeout: 0, bodyTimeout: 0 })
  let kept: KeptDirectory | undefined
  let reading: Promise<KeptDirectory> | undefined

  async function readDirectory (): Promise<KeptDirectory> {
    const query = options.failureDomain === undefined ? '' : `?failureDomain=${options.failureDomain}`
    for (const address of [...(kept?.addresses ?? []), ...options.seeds]) {
      try {
        const res = await request(`http://${address}/v1/instances${query}`, {
          dispatcher: agent,
          headers: { authorization: `Bearer ${options.key}` },
          signal: AbortSignal.timeout(SEED_LIFETIME_MS)
        })
        const body = await res.body.json() as DirectoryAnswer
        if (res.statusCode !== 200 || body.instances.length === 0) continue
        return { addresses: body.instances.map((instance) => instance.address), until: now() + body.maxAgeMs }
      } catch {
        // The next address is asked.
      }
    }
    return { addresses: options.seeds, until: now() + SEED_LIFETIME_MS }
  }

  async function addresses (): Promise<readonly string[]> {
    if (kept !== undefined && kept.until > now()) return kept.addresses
    reading ??= readDirectory().finally(() => { reading = undefined })
    kept = await reading
    return kept.addresses
  }

  async function pick (): Promise<string> {
    const known = await addresses()
    return known[Math.floor(random() * Math.min(SPREAD, known.length))]!
  }

  async function send (path: string, sendOptions: SendOptions): Promise<Dispatcher.ResponseData> {
    const address = sendOptions.address ?? await pick()
    return await request(`http://${address}${path}`, {
      dispatcher: agent,
      method: sendOptions.method,
      headers: { authorization: `Bearer ${options.key}`, ...sendOptions.headers },
      body: sendOptions.body,
      signal: sendOptions.signal
    })
  }

  async function chat (req: LiveRequest): Promise<LiveAnswer> {
    const answer = startAnswer(req.requestId ?? uuid())
    const startedAt = now()
    try {
      const res = await send('/v1/chat/completions', chatOptions(req, answer.requestId))
      answer.status = res.statusCode
      if (res.statusCode === 200) await readStream(res, answer, startedAt, now)
      else readProblem(await res.body.text(), answer)
    } catch (cause) {
      answer.failure = cause instanceof Error ? cause.message : String(cause)
      // The address may be gone: ask the directory again.
      kept = undefined
    }
    answer.totalMs = now() - startedAt
    return answer
  }

  return { addresses, chat, send, close: async () => await agent.destroy() }
}

function startAnswer (requestId: string): LiveAnswer {
  return { status: 0, requestId, whole: false, text: '', tokens: 0, tokenGapsMs: [], totalMs: 0 }
}

function chatOptions (req: LiveRequest, requestId: string): SendOptions {
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
  answer: LiveAnswer,
  startedAt: number,
  now: () => number
): Promise<void> {
  let lastTokenAt: number | undefined
  const parser = createParser({
    onEvent: (event) => {
      if (event.data === '[DONE]') {
        answer.whole = answer.reason === undefined
        return
      }
      const text = readChunk(event.data, answer)
      if (text === '') return
      const at = now()
      answer.firstTokenMs ??= at - startedAt
      if (lastTokenAt !== undefined) answer.tokenGapsMs.push(at - lastTokenAt)
      lastTokenAt = at
      answer.tokens++
      answer.text += text
    }
  })
  const decoder = new TextDecoder()
  for await (const bytes of res.body) parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }))
}

function readChunk (data: string, answer: LiveAnswer): string {
  const chunk = JSON.parse(data) as {
    reason?: string
    error?: { reason?: string }
    choices?: Array<{ delta?: { content?: string }, text?: string }>
  }
  answer.reason = chunk.error?.reason ?? chunk.reason ?? answer.reason
  const choice = chunk.choices?.[0]
  return choice?.delta?.content ?? choice?.text ?? ''
}

function readProblem (text: string, answer: LiveAnswer): void {
  const problem = JSON.parse(text) as { reason?: string, outcome?: string, retryAfterMs?: number }
  answer.reason = problem.reason
  answer.outcome = problem.outcome
  answer.retryAfterMs = problem.retryAfterMs
}
