/** Continuous batching: slots, order of arrival, and one step loop for all running streams. */
import { LRUCache } from 'lru-cache'
import type { Clock } from 'pimentoplank/shared'
import { v4 as uuid } from 'uuid'
import type { PrefixCache } from './prefixCache'
import type { RunLog } from './runLog'
import { isActive, type Stream, type StreamEnd, type StreamReader, type StreamRequest } from './stream'
import { countTokens, createAnswer } from './text'

const MAX_KEPT_STREAMS = 10_000

/** Times that may change while the engine runs. */
export interface Pace {
  tokenMs: number
  tokenSlopeMs: number
  firstTokenMs: number
  prefillTokenMs: number
}

export interface SchedulerOptions {
  clock: Clock
  slots: number
  pace: Pace
  detachGraceMs: number
  keepStreamsMs: number
  cache: PrefixCache
  runs: RunLog
  /** True for a prompt that ends the engine as it begins to run. */
  crashes: (prompt: string) => boolean
  onCrash: () => unknown
  /** Tokens of its own after which a stream is held; null for none. */
  holdAfterTokens: () => number | null
  /** Called after each change of the running and waiting counts. */
  onLoad: (running: number, waiting: number) => void
}

export interface Scheduler {
  /** Takes a request in; it waits when all slots are taken. */
  submit: (req: StreamRequest, reader: StreamReader) => Stream
  /** A stream that still waits or runs. */
  find: (id: string) => Stream | undefined
  /** Stops a stream if it still runs; true when its state is still here. */
  takeOver: (id: string) => boolean
  /** Stops a stream and frees its slot; the state stays for a while. */
  cancel: (id: string) => void
  /** Removes a reader; a stream without readers goes on for the grace time only. */
  detach: (stream: Stream, reader: StreamReader) => void
  /** Ends every stream. */
  endAll: (reason: StreamEnd) => void
  /** Makes no token until then, on the engine's clock. */
  freezeUntil: (time: number) => void
  counts: () => { running: number, waiting: number }
  /** True when a stream still uses this loaded model. */
  usesModel: (modelKey: string) => boolean
}

/** Creates a scheduler without streams. */
export function createScheduler (options: SchedulerOptions): Scheduler {
  const { clock, pace, cache } = options
  const active = new Map<string, Stream>()
  const running = new Set<Stream>()
  const waiting = new Set<Stream>()
  const kept = new LRUCache<string, true>({ max: MAX_KEPT_STREAMS, ttl: options.keepStreamsMs, perf: clock })
  let isLooping = false
  let frozenUntil = 0

  function submit (req: StreamRequest, reader: StreamReader): Stream {
    const stream: Stream = {
      id: uuid(),
      req,
      token: createAnswer(req.prompt).token,
      tokens: req.from,
      state: 'waiting',
      readyAt: 0,
      run: undefined,
      readers: new Set([reader]),
      grace: undefined
    }
    active.set(stream.id, stream)
    waiting.add(stream)
    fillSlots()
    return stream
  }

  function fillSlots (): void {
    for (const stream of waiting) {
      if (running.size >= options.slots) break
      waiting.delete(stream)
      begin(stream)
    }
    options.onLoad(running.size, waiting.size)
    if (!isLooping && running.size > 0) loop()
  }

  function begin (stream: Stream): void {
    const { req } = stream
    stream.state = 'running'
    stream.readyAt = clock.now() + prefillMs(stream)
    stream.run = options.runs.begin({
      requestId: req.requestId,
      content: req.prompt,
      startedAt: clock.wallTime(),
      from: req.from
    })
    running.add(stream)
  }

  function prefillMs (stream: Stream): number {
    const { req } = stream
    if (req.isKept) return 0
    const uncachedChars = req.prompt.length - cache.load(req.prompt)
    return pace.firstTokenMs + (countTokens(uncachedChars) + req.from) * pace.prefillTokenMs
  }

  async function loop (): Promise<void> {
    isLooping = true
    let nextAt = clock.now()
    while (running.size > 0) {
      const stepMs = pace.tokenMs + pace.tokenSlopeMs * (running.size - 1)
      nextAt = Math.max(nextAt + stepMs, frozenUntil)
      await clock.sleep(Math.max(0, nextAt - clock.now()))
      if (clock.now() < frozenUntil) continue
      // A step that comes late is not made up for by a burst of steps.
      nextAt = Math.max(nextAt, clock.now() - stepMs)
      step()
    }
    isLooping = false
  }

  function step (): void {
    const now = clock.now()
    for (const stream of [...running]) {
      if (stream.readyAt > now || stream.state !== 'running' || isHeld(stream)) continue
      if (options.crashes(stream.req.prompt)) {
        options.onCrash()
        return
      }
      makeToken(stream)
    }
    fillSlots()
  }

  function isHeld (stream: Stream): boolean {
    const limit = options.holdAfterTokens()
    return limit !== null && stream.tokens - stream.req.from >= limit
  }

  function makeToken (stream: Stream): void {
    if (stream.tokens < stream.req.maxTokens) {
      const index = stream.tokens
      const text = stream.token(index)
      stream.tokens += 1
      stream.run!.tokens = stream.tokens
      for (const reader of [...stream.readers]) reader.token(index, text)
    }
    if (stream.tokens >= stream.req.maxTokens) end(stream, 'done')
  }

  function end (stream: Stream, reason: StreamEnd): void {
    if (!isActive(stream)) return
    stream.state = reason
    if (stream.run !== undefined) stream.run.outcome = reason
    stream.grace?.abort()
    active.delete(stream.id)
    running.delete(stream)
    waiting.delete(stream)
    if (reason === 'cancelled' && stream.run !== undefined) kept.set(stream.id, true)
    for (const reader of [...stream.readers]) reader.end(reason)
    stream.readers.clear()
  }

  function cancel (id: string): void {
    const stream = active.get(id)
    if (stream === undefined) return
    end(stream, 'cancelled')
    fillSlots()
  }

  function takeOver (id: string): boolean {
    cancel(id)
    return kept.has(id)
  }

  function detach (stream: Stream, reader: StreamReader): void {
    stream.readers.delete(reader)
    if (stream.readers.size === 0 && isActive(stream)) cancelAfterGrace(stream)
  }

  async function cancelAfterGrace (stream: Stream): Promise<void> {
    const grace = new AbortController()
    stream.grace = grace
    await clock.sleep(options.detachGraceMs, grace.signal)
    if (!grace.signal.aborted && stream.readers.size === 0) cancel(stream.id)
  }

  function endAll (reason: StreamEnd): void {
    for (const stream of [...active.values()]) end(stream, reason)
    kept.clear()
    options.onLoad(0, 0)
  }

  return {
    submit,
    find: (id) => active.get(id),
    takeOver,
    cancel,
    detach,
    endAll,
    freezeUntil: (time) => { frozenUntil = time },
    counts: () => ({ running: running.size, waiting: waiting.size }),
    usesModel: (modelKey) => [...active.values()].some((stream) => stream.req.modelKey === modelKey)
  }
}
