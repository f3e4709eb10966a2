import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { err, ok } from 'neverthrow'
import { createInMemoryMetrics, createSilentLog, createSystemClock } from '../../shared'
import { SendFailure } from '../exchange'
import type { Route, RouteKind, Target } from '../model'
import { RELAY_RULES } from '../rules'
import { attemptTarget, type AttemptEnd } from './attemptTarget'
import type { LiveCall, Progress, RelayDeps } from './liveCall'
import { createSilenceDetector } from './silenceDetector'
import type { Slot, SlotQuery } from './slotScheduler'

interface AttemptWorld {
  attempt: Promise<AttemptEnd>
  attemptEnd?: AttemptEnd
  attemptOver: AbortController
  breakConnection: () => void
  losePath: () => void
  isPathLost: boolean
  isConnectionUsable: boolean
  crashedTargets: string[]
}

const ENDS_AFTER_MS = 60_000
const SETTLE_TURNS = 10

function createSlot (id: string): Slot {
  const target: Target = {
    id, service: 's', address: `${id}:80`, failureDomain: 'x', version: 'v1', slots: 1, state: 'ready'
  }
  return {
    target,
    placement: 'free',
    load: { live: 0, batch: 0, slots: 1 },
    release: () => undefined,
    discard: () => undefined
  }
}

function createRoute (kind: RouteKind): Route {
  return {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind,
    services: [{ service: 's', weight: 1 }],
    timeoutMs: ENDS_AFTER_MS,
    targetLatencyMs: ENDS_AFTER_MS,
    targetGapMs: ENDS_AFTER_MS,
    priority: 0,
    maxAttempts: 3,
    isResumable: false
  }
}

/** Creates the parts that an attempt uses; its target answers nothing. */
function createDeps (world: AttemptWorld, free: string): RelayDeps {
  const clock = createSystemClock()
  const deps: Partial<Record<keyof RelayDeps, unknown>> = {
    slotScheduler: { acquire: async () => ok(createSlot(free)) },
    exchange: {
      send: async (_request: unknown, signal: AbortSignal) => await new Promise((resolve) => {
        signal.addEventListener('abort', () => resolve(err(new SendFailure('aborted', true, 'aborted'))))
        world.breakConnection = () => resolve(err(new SendFailure('broken', true, 'reset')))
      })
    },
    loads: { recordFailure: () => undefined },
    paths: {
      isCutOff: () => world.isPathLost,
      isDirectUsable: () => world.isConnectionUsable,
      recordSilent: () => undefined,
      onLost: (listener: () => void) => {
        world.losePath = () => {
          world.isPathLost = true
          listener()
        }
        return () => { world.losePath = () => undefined }
      }
    },
    silenceDetector: createSilenceDetector(clock),
    crashes: {
      isRefused: () => false,
      recordPossibleCrash: ({ id }: { id: string }) => { world.crashedTargets.push(id) }
    },
    rules: RELAY_RULES.live,
    clock,
    metrics: createInMemoryMetrics(),
    log: createSilentLog()
  }
  return deps as unknown as RelayDeps
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) await new Promise((resolve) => setImmediate(resolve))
}

Given(/^a (repeatable request that runs|request that may run once only) at target "(\w)", with a free slot at "(\w)"$/, async function (
  this: AttemptWorld, request: string, target: string, free: string
) {
  const over = new AbortController()
  Object.assign(this, { attemptOver: over, isPathLost: false, isConnectionUsable: true, crashedTargets: [] })
  const route = createRoute(request.startsWith('repeatable') ? 'safe' : 'once')
  const call: Partial<LiveCall> = {
    request: { id: 'q', host: 'h', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0) },
    route,
    service: 's',
    arrivedAt: 0,
    reply: { disconnected: new AbortController().signal, hasStarted: () => false } as unknown as LiveCall['reply']
  }
  const progress: Progress = {
    runs: 0,
    refusals: 0,
    lastEventId: undefined,
    openEnds: 0,
    excluded: new Set(),
    silentTargets: new Set(),
    refusedBy: new Set()
  }
  this.attempt = attemptTarget({
    call: call as LiveCall,
    slot: createSlot(target),
    progress,
    isProbe: false,
    endAt: performance.now() + ENDS_AFTER_MS,
    ended: over.signal,
    createQuery: (signal) => ok({ requestId: 'q', excluded: new Set(), signal } as unknown as SlotQuery)
  }, createDeps(this, free))
  this.attempt.then((end) => { this.attemptEnd = end }, () => undefined)
  await settle()
})

When(/^the path to targets is lost, (and with it|but not) the connection to "\w"$/, async function (
  this: AttemptWorld, which: string
) {
  this.isConnectionUsable = which === 'but not'
  this.losePath()
  await settle()
})

When(/^the connection to "\w" breaks$/, async function (this: AttemptWorld) {
  this.breakConnection()
  await settle()
})

Then('the request leaves {string} with the slot at {string}', function (this: AttemptWorld, _from: string, to: string) {
  assert.ok(this.attemptEnd?.type === 'failed', 'the request has not left')
  assert.equal(this.attemptEnd.nextSlot?.target.id, to)
})

Then('the request stays at {string}', function (this: AttemptWorld, _target: string) {
  assert.equal(this.attemptEnd, undefined)
})

Then(/^(no|a) crash is recorded$/, function (this: AttemptWorld, count: string) {
  assert.equal(this.crashedTargets.length, count === 'no' ? 0 : 1)
})

After(async function (this: Partial<AttemptWorld>) {
  this.attemptOver?.abort()
  await this.attempt
})
