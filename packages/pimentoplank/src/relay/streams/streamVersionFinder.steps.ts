import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { setTimeout as pause } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import {
  createMetrics, createPeerServer, createPeerTransports, createSilentLog, createSystemClock, FindVersionResponseSchema,
  hash64, StreamService, type PeerServer, type PeerTransports, type RefusalError
} from '../../shared'
import { waitUntil } from '../../../features/support/waitUntil'
import type { VersionHistory } from '../decisions'
import type { PeerView } from '../gossip'
import type { CallerRequest } from '../model'
import { createStreamVersionFinder, createStreamVersions } from '.'

interface FinderWorld {
  streamPeers?: PeerView[]
  streamServers?: PeerServer[]
  transports?: PeerTransports
  /** Failure domains of the peers that were asked. */
  asked: string[]
  silentDomains: Set<string>
  /** Failure domain whose peers know a stream, but not its version. */
  unsureDomain?: string
  /** Failure domain whose peers know one version of every stream, and answer at once. */
  sureDomain?: { name: string, version: string }
  /** Stream that was heard of at a version, before reports of the peer that told it were missed. */
  missed?: { attempt: string, version: string }
  /** Stream that was heard of without a version. */
  heardWithout?: string
  answerMs: number
  history: VersionHistory
  bound: Result<string, RefusalError>
}

const SECURITY = { sharedKey: '' }
const STEP_TIMEOUT_MS = 10_000
const KEEP_MS = 10_000
const UNKNOWN_HISTORY: VersionHistory = { knownSince: Infinity, versions: new Map(), hasOutdatedEntries: false }

Given('{int} peer(s) in each of {int} failure domain(s), of which those in {string} know version {string} of {string}', { timeout: STEP_TIMEOUT_MS }, async function (
  this: FinderWorld, count: number, domains: number, knowing: string, version: string, attempt: string
) {
  this.asked = []
  this.silentDomains = new Set()
  this.answerMs = 0
  this.history = UNKNOWN_HISTORY
  this.streamPeers = []
  this.streamServers = []
  for (const failureDomain of ['a', 'b', 'c'].slice(0, domains)) {
    for (let index = 0; index < count; index++) {
      const known = failureDomain === knowing ? hash64(attempt) : undefined
      const server = await startPeer(this, failureDomain, known, version)
      this.streamServers.push(server)
      const { address: peerAddress } = server
      const report = { instance: `${failureDomain}${index}`, failureDomain, stage: 'serving', peerAddress }
      this.streamPeers.push({ report, lastReceivedAt: 0 } as unknown as PeerView)
    }
  }
})

async function startPeer (
  world: FinderWorld,
  failureDomain: string,
  known: bigint | undefined,
  version: string
): Promise<PeerServer> {
  const started = await createPeerServer({
    host: '127.0.0.1',
    port: 0,
    security: SECURITY,
    routes: (router) => {
      router.service(StreamService, {
        findVersion: async ({ attempt }) => {
          world.asked.push(failureDomain)
          if (world.silentDomains.has(failureDomain)) await new Promise(() => undefined)
          if (world.unsureDomain === failureDomain) {
            return create(FindVersionResponseSchema, { known: true, version: '', keepMs: KEEP_MS })
          }
          if (world.sureDomain?.name === failureDomain) {
            const { version: sure } = world.sureDomain
            return create(FindVersionResponseSchema, { known: true, version: sure, keepMs: KEEP_MS })
          }
          await pause(world.answerMs)
          return create(FindVersionResponseSchema, { known: attempt === known, version, keepMs: KEEP_MS })
        }
      })
    }
  })
  return started._unsafeUnwrap()
}

Given('the peers in {string} and {string} don\'t answer', function (this: FinderWorld, first: string, second: string) {
  this.silentDomains = new Set([first, second])
})

Given('the peers take {int} ms to answer', function (this: FinderWorld, ms: number) {
  this.answerMs = ms
})

Given('the peers in {string} know every stream, but no version', function (this: FinderWorld, failureDomain: string) {
  this.unsureDomain = failureDomain
})

Given('the peers in {string} know version {string} of every stream', function (
  this: FinderWorld, name: string, version: string
) {
  this.sureDomain = { name, version }
})

Given('version {string} of {string} was heard of, before reports of that peer were missed', function (
  this: FinderWorld, version: string, attempt: string
) {
  this.missed = { attempt, version }
})

Given('stream {string} was heard of without a version', function (this: FinderWorld, attempt: string) {
  this.heardWithout = attempt
})

Given('only version {string} has served for long', function (this: FinderWorld, version: string) {
  this.history = createHistory(version, false)
})

Given('only version {string} has served for long, but the entry of a target is out of date', function (
  this: FinderWorld, version: string
) {
  this.history = createHistory(version, true)
})

function createHistory (version: string, hasOutdatedEntries: boolean): VersionHistory {
  return { knownSince: -Infinity, versions: new Map([[version, Infinity]]), hasOutdatedEntries }
}

When('a caller takes up stream {string}', async function (this: FinderWorld, resumes: string) {
  const clock = createSystemClock()
  this.transports ??= createPeerTransports({ security: SECURITY })
  const streamVersions = createStreamVersions({ getTarget: () => undefined, clock, log: createSilentLog() })
  if (this.heardWithout !== undefined) {
    const notice = { attempt: hash64(this.heardWithout), version: undefined, keepUntil: clock.now() + KEEP_MS }
    streamVersions.mergeReport({ instance: 'a0', incarnation: 1, sequence: 1, streams: [notice] }, undefined)
  }
  if (this.missed !== undefined) {
    const { attempt, version } = this.missed
    const notice = { attempt: hash64(attempt), version, keepUntil: clock.now() + KEEP_MS }
    const first = { instance: 'a0', incarnation: 1, sequence: 1, streams: [notice] }
    streamVersions.mergeReport(first, undefined)
    await pause(1)
    streamVersions.mergeReport({ ...first, sequence: 50, streams: [] }, first)
  }
  const finder = createStreamVersionFinder({
    streamVersions,
    peers: () => this.streamPeers!,
    transports: this.transports,
    whenVersionsLoaded: async () => undefined,
    getVersionHistory: () => this.history,
    clock,
    metrics: createMetrics(),
    log: createSilentLog()
  })
  const request = { id: 'r9', resumes, lastEventId: 3 } as unknown as CallerRequest
  this.bound = await finder.find(request, 's')
})

Then('it is bound to version {string}', function (this: FinderWorld, version: string) {
  assert.equal(this.bound._unsafeUnwrap(), version)
})

Then('it is refused as {string}', function (this: FinderWorld, reason: string) {
  assert.equal(this.bound._unsafeUnwrapErr().reason, reason)
})

Then('{int} peers of each failure domain were asked', async function (this: FinderWorld, count: number) {
  const expected = ['a', 'b', 'c'].flatMap((domain) => Array.from({ length: count }, () => domain))
  // The first answer counts, so that other peers may be reached after it.
  await waitUntil(() => this.asked.length >= expected.length)
  assert.deepEqual([...this.asked].sort(), expected)
})

After(async function (this: FinderWorld) {
  this.transports?.close()
  await Promise.all((this.streamServers ?? []).map(async (one) => await one.close()))
})
