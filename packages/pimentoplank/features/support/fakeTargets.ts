/** In-memory targets behind the engine, slot and quarantine interfaces; every run is recorded. */
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import {
  EngineError, RefusalError, type Clock, type EngineClient, type EngineEvent, type EngineRequest, type EngineStream,
  type Quarantine, type SlotClient, type Target
} from '../../src/shared'

export interface FakeRun {
  requestId: string
  content: string
  target: string
  /** Software version of the target when the run started. */
  version: string | undefined
  runner: string
  /** True when the run resumes a stream that was cancelled or cut. */
  isResumed: boolean
  /** Number of tokens already generated when the run started. */
  resumedAt: number
  tokens: number
  outcome: 'running' | 'done' | 'cancelled' | 'failed' | 'crashed'
}

export interface FakeTargetsOptions {
  targets: number
  slots: number
  tokenMs: number
  tokens: number
}

export interface FakeTargets {
  records: Target[]
  runs: FakeRun[]
  /** A request whose content contains this marker crashes its target. */
  crashMarker: string
  /** Number of crashes after which requests with the marker run like others. */
  crashesLeft: number
  /** Time after which a crashed target is back, in milliseconds; by default, never. */
  restartMs: number
  /** A request whose content contains this marker fails on every run. */
  failMarker: string
  /** A request whose content contains this marker falls silent after two tokens, and then goes on. */
  silentMarker: string
  /** Length of that silence, in milliseconds. */
  silenceMs: number
  /** Runners whose streams no longer send anything and ignore cancellation. */
  silent: Set<string>
  /** Revokes every slot and refuses new ones until `allow` is called. */
  revoke: () => void
  allow: () => void
  /** Delay before each further slot is granted, in milliseconds. */
  grantAfterMs: number
  engines: (runner: string, clock: Clock) => EngineClient
  slots: (clock: Clock) => SlotClient
  quarantine: () => Quarantine
}

/** Creates targets that are all live and idle. */
export function createFakeTargets (options: FakeTargetsOptions): FakeTargets {
  const records = Array.from({ length: options.targets }, (_, index): Target => ({
    id: `target-${index}`,
    role: 'engine',
    service: 'desk-lm',
    address: `127.0.0.1:${index + 1}`,
    failureDomain: 'rum-a',
    region: 'jo-south',
    state: 'live'
  }))
  const dead = new Set<string>()
  const used = new Map<string, number>()
  const granted = new Set<AbortController>()
  const crashes = new Map<string, Set<string>>()
  const runs: FakeRun[] = []
  const silentStreams = new Set<string>()
  let isAllowed = true

  function crash (target: string, clock: Clock): void {
    dead.add(target)
    fake.crashesLeft -= 1
    if (fake.restartMs < Infinity) clock.sleep(fake.restartMs).then(() => { dead.delete(target) })
    for (const run of runs) if (run.target === target && run.outcome === 'running') run.outcome = 'crashed'
  }

  function createStream (run: FakeRun, clock: Clock): EngineStream {
    const streamId = `stream-${runs.length}`
    let silentUntil = 0
    async function produce (): Promise<EngineEvent> {
      await clock.sleep(options.tokenMs)
      if (run.content.includes(fake.silentMarker) && !run.isResumed && run.tokens === 2 && silentUntil === 0) {
        silentUntil = clock.now() + fake.silenceMs
      }
      if (clock.now() < silentUntil) {
        silentStreams.add(streamId)
        throw new EngineError('streamSilent', { reached: true })
      }
      silentStreams.delete(streamId)
      if (fake.silent.has(run.runner)) await new Promise(() => undefined)
      if (run.outcome === 'crashed') throw new EngineError('streamCut', { reached: true })
      if (run.content.includes(fake.crashMarker) && fake.crashesLeft > 0) {
        crash(run.target, clock)
        throw new EngineError('streamCut', { reached: true })
      }
      if (run.content.includes(fake.failMarker)) {
        run.outcome = 'failed'
        throw new EngineError('targetError', { reached: true, status: 500 })
      }
      if (run.tokens >= options.tokens) {
        if (run.outcome === 'running') run.outcome = 'done'
        return { type: 'end', finishReason: 'stop', promptTokens: 1, completionTokens: run.tokens }
      }
      return { type: 'token', index: run.tokens++, text: `${run.tokens} ` }
    }
    return {
      streamId,
      next: () => ResultAsync.fromPromise(produce(), (cause) => cause as EngineError),
      disconnect: () => undefined,
      cancel: async () => {
        silentStreams.delete(streamId)
        if (fake.silent.has(run.runner)) await new Promise(() => undefined)
        if (run.outcome === 'running') run.outcome = 'cancelled'
      }
    }
  }

  function engines (runner: string, clock: Clock): EngineClient {
    return {
      start: (target: Target, req: EngineRequest) => {
        if (silentStreams.has(req.resume?.streamId ?? '')) return errAsync(new EngineError('streamSilent', { reached: true }))
        if (dead.has(target.id)) return errAsync(new EngineError('connectFailed', { reached: false }))
        const content = JSON.stringify(req.body.messages)
        const resumedAt = req.resume?.tokens ?? 0
        const run: FakeRun = {
          requestId: req.requestId,
          content,
          target: target.id,
          version: records.find(({ id }) => id === target.id)?.softwareVersion,
          runner,
          isResumed: req.resume !== undefined,
          resumedAt,
          tokens: resumedAt,
          outcome: 'running'
        }
        runs.push(run)
        return okAsync(createStream(run, clock))
      },
      probe: async (target) => !dead.has(target.id),
      close: async () => undefined
    }
  }

  function slots (clock: Clock): SlotClient {
    const refusal = (): RefusalError => new RefusalError('noTarget', { retryAfterMs: 200 })
    return {
      acquire: (req) => {
        const free = records.filter(({ id }) => !dead.has(id) && (used.get(id) ?? 0) < options.slots)
        const allowed = free.filter(({ id }) => !req.excluded.includes(id))
        const target = allowed.find(({ id }) => id === req.preferred) ?? allowed[0]
        if (target === undefined || !isAllowed) {
          return ResultAsync.fromSafePromise(clock.sleep(1)).andThen(() => errAsync(refusal()))
        }
        used.set(target.id, (used.get(target.id) ?? 0) + 1)
        const revoker = new AbortController()
        granted.add(revoker)
        const granting = fake.grantAfterMs > 0 ? clock.sleep(fake.grantAfterMs) : Promise.resolve()
        return ResultAsync.fromSafePromise(granting).map(() => ({
          target,
          revoked: revoker.signal,
          release: () => { if (granted.delete(revoker)) used.set(target.id, used.get(target.id)! - 1) }
        }))
      },
      close: async () => undefined
    }
  }

  const fake: FakeTargets = {
    records,
    runs,
    crashMarker: 'CRASH',
    crashesLeft: Infinity,
    restartMs: Infinity,
    failMarker: 'FAIL',
    silentMarker: 'SILENT',
    silenceMs: 10_000,
    silent: new Set(),
    revoke: () => {
      isAllowed = false
      for (const revoker of granted) revoker.abort()
    },
    allow: () => { isAllowed = true },
    grantAfterMs: 0,
    engines,
    slots,
    quarantine: () => ({
      trackRun: () => () => undefined,
      findTargetsWithSuspects: () => [],
      isQuarantined: (hash) => (crashes.get(hash)?.size ?? 0) >= 2,
      hasCrashingParts: () => false,
      claimProbe: async () => false,
      recordAnswer: () => undefined,
      recordCrash: async (hash, target) => {
        const died = crashes.get(hash) ?? new Set()
        crashes.set(hash, died.add(target))
        return died.size >= 2 ? 'quarantined' : 'suspect'
      }
    })
  }
  return fake
}
