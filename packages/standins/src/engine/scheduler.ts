/** Continuous batching: a limited number of slots, a FIFO queue, and one step loop for all running streams. */
import { LRUCache } from 'lru-cache'
import type { Clock } from 'pimentoplank/shared'
import { v4 as uuid } from 'uuid'
import type { PrefixCache } from './prefixCache'
import type { RunLog } from './runLog'
import { isActive, type Stream, type StreamEndReason, type StreamReader, type StreamRequest } from './stream'
import { countTokens, createTokenGenerator } from './answer'

const MAX_KEPT_STREAMS = 10_000

/** Timings that may change while the engine runs, in milliseconds. */
export interface StepTimings {
  tokenMs: number
  tokenSlopeMs: number
  firstTokenMs: number
  prefillTokenMs: number
}

export interface SchedulerOptions {
  clock: Clock
  slots: number
  timings: StepTimings
  detachGraceMs: number
  keepStreamsMs: number
  cache: PrefixCache
  runs: RunLog
  /** True for a prompt that crashes the engine when it starts to run. */
  shouldCrash: (prompt: string) => boolean
  onCrash: () => unknown
  /** Returns the number of tokens generated in its own run after which a stream pauses; null for no limit. */
  getPauseAfterTokens: () => number | null
  /** Called with the number of tokens that a run has generated, after each of them. */
  onToken: (ownTokens: number) => void
  /** Called when the number of running or waiting streams may have changed. */
  onLoadChange: (running: number, waiting: number) => void
}

export interface Scheduler {
  /** Accepts a request, which is queued while all slots are in use. */
  submit: (req: StreamRequest, reader: StreamReader) => Stream
  /** Finds a waiting or running stream. */
  findStream: (id: string) => Stream | undefined
  /** Cancels a stream if it is still active; returns true when its state is available to be resumed. */
  cancelForResume: (id: string) => boolean
  /** Cancels a stream and frees its slot; its state is kept for `keepStreamsMs`. */
  cancel: (id: string) => void
  /** Removes a reader; a stream left without readers is cancelled after the grace period. */
  detach: (stream: Stream, reader: StreamReader) => void
  /** Ends every stream and discards the kept state. */
  endAll: (reason: StreamEndReason) => void
  /** Generates no tokens until the given time on the engine's clock. */
  freezeUntil: (time: number) => void
  getCounts: () => { running: number, waiting: number }
  /** True while an active stream uses this loaded model. */
  isModelInUse: (modelKey: string) => boolean
}

/** Creates a scheduler without streams. */
export function createScheduler (options: SchedulerOptions): Scheduler {
  const { clock, timings: stepTimings, cache } = options
  const active = new Map<string, Stream>()
  const running = new Set<Stream>()
  const waiting = new Set<Stream>()
  const resumable = new LRUCache<string, true>({ max: MAX_KEPT_STREAMS, ttl: options.keepStreamsMs, perf: clock })
  let isLooping = false
  let frozenUntil = 0

  function submit (req: StreamRequest, reader: StreamReader): Stream {
    const stream: Stream = {
      id: uuid(),
      req,
      getToken: createTokenGenerator(req.prompt).getToken,
      tokens: req.receivedTokens,
      state: 'waiting',
      prefilledAt: 0,
      run: undefined,
      readers: new Set([reader]),
      gracePeriod: undefined
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
      startStream(stream)
    }
    options.onLoadChange(running.size, waiting.size)
    if (!isLooping && running.size > 0) runSteps()
  }

  function startStream (stream: Stream): void {
    const { req } = stream
    stream.state = 'running'
    stream.prefilledAt = clock.now() + computePrefillMs(stream)
    stream.run = options.runs.startRun({
      requestId: req.requestId,
      content: req.prompt,
      startedAt: clock.wallTime(),
      from: req.receivedTokens
    })
    running.add(stream)
  }

  function computePrefillMs (stream: Stream): number {
    const { req } = stream
    if (req.hasResumableState) return 0
    const uncachedChars = req.prompt.length - cache.insert(req.prompt)
    return stepTimings.firstTokenMs + (countTokens(uncachedChars) + req.receivedTokens) * stepTimings.prefillTokenMs
  }

  async function runSteps (): Promise<void> {
    isLooping = true
    let nextStepAt = clock.now()
    while (running.size > 0) {
      const stepMs = stepTimings.tokenMs + stepTimings.tokenSlopeMs * (running.size - 1)
      nextStepAt = Math.max(nextStepAt + stepMs, frozenUntil)
      await clock.sleep(Math.max(0, nextStepAt - clock.now()))
      if (clock.now() < frozenUntil) continue
      // After a late step, the loop must not catch up with a burst of steps.
      nextStepAt = Math.max(nextStepAt, clock.now() - stepMs)
      runStep()
    }
    isLooping = false
  }

  function runStep (): void {
    const now = clock.now()
    for (const stream of [...running]) {
      if (stream.prefilledAt > now || stream.state !== 'running' || isPaused(stream)) continue
      if (options.shouldCrash(stream.req.prompt)) {
        options.onCrash()
        return
      }
      generateToken(stream)
    }
    fillSlots()
  }

  function isPaused (stream: Stream): boolean {
    const limit = options.getPauseAfterTokens()
    return limit !== null && stream.tokens - stream.req.receivedTokens >= limit
  }

  function generateToken (stream: Stream): void {
    if (stream.tokens < stream.req.maxTokens) {
      const index = stream.tokens
      const text = stream.getToken(index)
      stream.tokens += 1
      stream.run!.tokens = stream.tokens
      for (const reader of [...stream.readers]) reader.onToken(index, text)
      options.onToken(stream.tokens - stream.req.receivedTokens)
    }
    if (stream.tokens >= stream.req.maxTokens) endStream(stream, 'done')
  }

  function endStream (stream: Stream, reason: StreamEndReason): void {
    if (!isActive(stream)) return
    stream.state = reason
    if (stream.run !== undefined) stream.run.outcome = reason
    stream.gracePeriod?.abort()
    active.delete(stream.id)
    running.delete(stream)
    waiting.delete(stream)
    if (reason === 'cancelled' && stream.run !== undefined) resumable.set(stream.id, true)
    for (const reader of [...stream.readers]) reader.onEnd(reason)
    stream.readers.clear()
  }

  function cancel (id: string): void {
    const stream = active.get(id)
    if (stream === undefined) return
    endStream(stream, 'cancelled')
    fillSlots()
  }

  function cancelAndCheckState (id: string): boolean {
    cancel(id)
    return resumable.has(id)
  }

  function detach (stream: Stream, reader: StreamReader): void {
    stream.readers.delete(reader)
    if (stream.readers.size === 0 && isActive(stream)) cancelAfterGrace(stream)
  }

  async function cancelAfterGrace (stream: Stream): Promise<void> {
    const grace = new AbortController()
    stream.gracePeriod = grace
    await clock.sleep(options.detachGraceMs, grace.signal)
    if (!grace.signal.aborted && stream.readers.size === 0) cancel(stream.id)
  }

  function endAll (reason: StreamEndReason): void {
    for (const stream of [...active.values()]) endStream(stream, reason)
    resumable.clear()
    options.onLoadChange(0, 0)
  }

  return {
    submit,
    findStream: (id) => active.get(id),
    cancelForResume: cancelAndCheckState,
    cancel,
    detach,
    endAll,
    freezeUntil: (time) => { frozenUntil = time },
    getCounts: () => ({ running: running.size, waiting: waiting.size }),
    isModelInUse: (modelKey) => [...active.values()].some((stream) => stream.req.modelKey === modelKey)
  }
}
