import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { err, ok } from 'neverthrow'
import { createInMemoryMetrics, createSilentLog, createSystemClock, RefusalError } from '../../shared'
import { SendFailure } from '../exchange'
import type { Route, Target, TargetRequest } from '../model'
import { RELAY_RULES } from '../rules'
import type { LiveCall, RelayDeps } from './liveCall'
import { relayRequest } from './relayRequest'
import { createSilenceDetector } from './silenceDetector'
import type { Slot, SlotQuery } from './slotScheduler'

interface RelayRequestWorld {
  targetIds: string[]
  /** Number of failures after which the path is known to be lost. */
  lostAfter: number
  tried: string[]
  outcome: string
  refusal?: RefusalError
  isProbe?: boolean
  /** True once targets are known to crash on the request. */
  isCrashing?: boolean
  isFoundWhileConnecting?: boolean
}

const ENDS_AFTER_MS = 10_000
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'safe',
  services: [{ service: 's', weight: 1 }],
  timeoutMs: ENDS_AFTER_MS,
  targetLatencyMs: ENDS_AFTER_MS,
  targetGapMs: ENDS_AFTER_MS,
  priority: 0,
  maxAttempts: 3,
  isResumable: false
}

function createSlot (id: string): Slot {
  const target: Target = {
    id, service: 's', address: `${id}:80`, failureDomain: 'x', version: 'v1', slots: 1, state: 'ready'
  }
  const load = { live: 0, batch: 0, slots: 1 }
  return { target, placement: 'free', load, release: () => undefined, discard: () => undefined }
}

/** Creates the parts that a request uses; targets are reached once the path is known to be lost, through peers. */
function createDeps (world: RelayRequestWorld): RelayDeps {
  const listeners = new Set<() => void>()
  const isCutOff = (): boolean => world.tried.length >= world.lostAfter
  const deps: Partial<Record<keyof RelayDeps, unknown>> = {
    slotScheduler: {
      acquire: async ({ excluded }: SlotQuery) => {
        const id = world.targetIds.find((one) => !excluded.has(one))
        return id === undefined ? err(new RefusalError('noTarget')) : ok(createSlot(id))
      }
    },
    exchange: {
      send: async ({ target, mayStillSend }: TargetRequest) => {
        world.isCrashing = world.isFoundWhileConnecting
        if (mayStillSend?.() === false) return err(new SendFailure('withdrawn', false, 'withdrawn'))
        const isReached = isCutOff()
        world.tried.push(target.id)
        if (isReached) return ok(createAnswer())
        if (isCutOff()) listeners.forEach((listener) => listener())
        return err(new SendFailure('connectFailed', false, 'refused'))
      }
    },
    loads: { recordFailure: () => undefined, recordSuccess: () => undefined },
    paths: {
      isCutOff,
      isDirectUsable: () => !isCutOff(),
      recordSilent: () => undefined,
      onLost: (listener: () => void) => {
        listeners.add(listener)
        return () => listeners.delete(listener)
      }
    },
    silenceDetector: createSilenceDetector(createSystemClock()),
    crashes: {
      isRefused: () => world.isCrashing === true,
      recordPossibleCrash: () => undefined,
      recordAnswer: () => undefined
    },
    openRequests: { add: () => () => undefined, isEnded: () => false },
    rules: RELAY_RULES.live,
    clock: createSystemClock(),
    metrics: createInMemoryMetrics(),
    log: createSilentLog()
  }
  return deps as unknown as RelayDeps
}

function createAnswer (): unknown {
  return {
    head: { status: 200, headers: [], isNotRun: false, isOtherTarget: false, isSigned: true, isLeaving: false },
    getEnding: () => ({ framing: 'chunks', bytes: 0, connection: 'open' }),
    read: async () => ok(undefined),
    close: () => undefined
  }
}

Given('a service with targets {string} and {string}, to which no connection can be opened', function (
  this: RelayRequestWorld, first: string, second: string
) {
  Object.assign(this, { targetIds: [first, second], lostAfter: Infinity, tried: [], outcome: 'none' })
})

Given('an instance that knows its path to be lost from the second failure on', function (this: RelayRequestWorld) {
  this.lostAfter = 2
})

Given('a service with target {string}', function (this: RelayRequestWorld, target: string) {
  Object.assign(this, { targetIds: [target], lostAfter: 0, tried: [], outcome: 'none' })
})

Given(/^a (request|probe) whose prompt is found to crash targets while its connection is opened$/, function (
  this: RelayRequestWorld, kind: string
) {
  this.isProbe = kind === 'probe'
  this.isFoundWhileConnecting = true
})

When('a request is relayed', async function (this: RelayRequestWorld) {
  const clock = createSystemClock()
  const reply: Partial<LiveCall['reply']> = {
    disconnected: new AbortController().signal,
    hasStarted: () => false,
    begin: () => undefined,
    end: () => { this.outcome = 'answered' },
    refuse: (refusal) => {
      this.outcome = 'refused'
      this.refusal = refusal
    }
  }
  const request = { id: 'q', host: 'h', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0) }
  await relayRequest({
    request,
    route: ROUTE,
    service: 's',
    arrivedAt: clock.now(),
    isReturning: false,
    isProbe: this.isProbe === true,
    reply: reply as LiveCall['reply']
  }, createDeps(this))
})

Then('it was tried at {string}, {string} and {string}', function (
  this: RelayRequestWorld, first: string, second: string, third: string
) {
  assert.deepEqual(this.tried, [first, second, third])
})

Then('it was tried at {string} and {string}', function (this: RelayRequestWorld, first: string, second: string) {
  assert.deepEqual(this.tried, [first, second])
})

Then('it is answered by the last of them', function (this: RelayRequestWorld) {
  assert.equal(this.outcome, 'answered')
})

Then('it is refused as one that crashes targets, and was sent to none', function (this: RelayRequestWorld) {
  const { reason, outcome } = this.refusal!
  assert.deepEqual({ reason, outcome, tried: this.tried }, { reason: 'quarantined', outcome: 'not_run', tried: [] })
})

Then('it is refused', function (this: RelayRequestWorld) {
  assert.equal(this.outcome, 'refused')
})
