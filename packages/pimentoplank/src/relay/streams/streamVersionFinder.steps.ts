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
import type { StreamOrigin, VersionHistory } from '../decisions'
import type { PeerView } from '../gossip'
import type { CallerRequest } from '../model'
import { createStreamVersionFinder, createStreamVersions, type StreamReport } from '.'

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
  /** True for peers that also tell where streams were placed that may still move. */
  areOlder: boolean
  /** Stream that was heard of as it began. */
  heard?: { attempt: string, version: string | undefined, service?: string }
  /** What a peer of an older version has told. */
  placed?: StreamReport
  answerMs: number
  history: VersionHistory
  /** Versions that the platform has; those of the history by default, undefined if it does not tell. */
  readVersions?: () => Promise<Set<string> | undefined>
  hasOtherProcess?: boolean
  /** Services of the route beside the first one, with their history. */
  splitWith?: Map<string, VersionHistory>
  /** Services of which the platform doesn't tell. */
  untoldServices?: Set<string>
  /** Service that the peers in a failure domain tell; those of older versions tell none. */
  toldServices?: Map<string, string>
  bound: Result<StreamOrigin, RefusalError>
}

const SECURITY = { sharedKey: '' }
const STEP_TIMEOUT_MS = 10_000
const KEEP_MS = 10_000
const SERVICE = 's'
const OTHER_SERVICE = 'o'
const UNKNOWN_HISTORY: VersionHistory = { knownSince: Infinity, versions: new Map(), hasOutdatedEntries: false }

Given('{int} peer(s) in each of {int} failure domain(s), of which those in {string} know version {string} of {string}', { timeout: STEP_TIMEOUT_MS }, async function (
  this: FinderWorld, count: number, domains: number, knowing: string, version: string, attempt: string
) {
  this.asked = []
  this.silentDomains = new Set()
  this.answerMs = 0
  this.areOlder = false
  this.history = UNKNOWN_HISTORY
  this.streamPeers = []
  this.streamServers = []
  for (const failureDomain of ['a', 'b', 'c'].slice(0, domains)) {
    for (let index = 0; index < count; index++) {
      const known = failureDomain === knowing ? hash64(attempt) : undefined
      const server = await startPeer(this, failureDomain, known, version)
      this.streamServers.push(server)
      const { address: peerAddress } = server
      const instance = `${failureDomain}${index}`
      const report = { instance, incarnation: 1, failureDomain, stage: 'serving', peerAddress }
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
          const begun = !world.areOlder
          if (world.silentDomains.has(failureDomain)) await new Promise(() => undefined)
          if (world.unsureDomain === failureDomain) {
            return create(FindVersionResponseSchema, { known: true, version: '', keepMs: KEEP_MS, begun })
          }
          if (world.sureDomain?.name === failureDomain) {
            const { version: sure } = world.sureDomain
            const service = world.toldServices?.get(failureDomain)
            return create(FindVersionResponseSchema, { known: true, version: sure, service, keepMs: KEEP_MS, begun })
          }
          await pause(world.answerMs)
          const service = world.toldServices?.get(failureDomain)
          const isKnown = attempt === known
          return create(FindVersionResponseSchema, { known: isKnown, version, service, keepMs: KEEP_MS, begun })
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

Given('all peers run an older version', function (this: FinderWorld) {
  this.areOlder = true
})

Given('instance {string} in its life {int} has told that it placed {string} at version {string}', function (
  this: FinderWorld, instance: string, incarnation: number, attempt: string, version: string
) {
  const streams = [{ attempt: hash64(attempt), version, keepUntil: Infinity }]
  this.placed = { instance, incarnation, streams, areStreamsBegun: false }
})

Given('stream {string} was heard of without a version', function (this: FinderWorld, attempt: string) {
  this.heard = { attempt, version: undefined }
})

Given('stream {string} was heard of with version {string}', function (
  this: FinderWorld, attempt: string, version: string
) {
  this.heard = { attempt, version }
})

Given('only version {string} has served for long', function (this: FinderWorld, version: string) {
  this.history = createHistory(version, false)
})

Given('only version {string} has served for long, but the entry of a target is out of date', function (
  this: FinderWorld, version: string
) {
  this.history = createHistory(version, true)
})

const READS: Record<string, (world: FinderWorld) => FinderWorld['readVersions']> = {
  'has versions v1 and v2': () => async () => new Set(['v1', 'v2']),
  'does not tell its versions': () => async () => undefined,
  'does not answer': () => async () => await new Promise(() => undefined),
  'is read as the history gets version v1': (world) => async () => {
    world.history = { ...world.history, versions: new Map([['v1', Infinity], ['v2', Infinity]]) }
    return new Set(['v2'])
  }
}

Given('another process answers than that of an entry of the platform', function (this: FinderWorld) {
  this.hasOtherProcess = true
})

Given(/^the platform (has versions v1 and v2|does not tell its versions|does not answer|is read as the history gets version v1)$/, function (this: FinderWorld, what: string) {
  this.readVersions = READS[what]!(this)
})

function createHistory (version: string, hasOutdatedEntries: boolean): VersionHistory {
  return { knownSince: -Infinity, versions: new Map([[version, Infinity]]), hasOutdatedEntries }
}

Given(/^the route is split with a service of version "(\w+)"( of which the platform doesn't tell)?$/, function (
  this: FinderWorld, version: string, isUntold: string | null
) {
  this.splitWith = new Map([[OTHER_SERVICE, createHistory(version, false)]])
  this.untoldServices = new Set(isUntold === null ? [] : [OTHER_SERVICE])
})

When('a caller takes up stream {string}', async function (this: FinderWorld, resumes: string) {
  const clock = createSystemClock()
  this.transports ??= createPeerTransports({ security: SECURITY })
  const streamVersions = createStreamVersions({ getTarget: () => undefined, clock, log: createSilentLog() })
  if (this.heard !== undefined) {
    const { attempt, ...origin } = this.heard
    streamVersions.merge({ attempt: hash64(attempt), ...origin, keepUntil: clock.now() + KEEP_MS }, 'heard')
  }
  if (this.placed !== undefined) streamVersions.mergeReport(this.placed)
  const getHistory = (service: string): VersionHistory => this.splitWith?.get(service) ?? this.history
  const finder = createStreamVersionFinder({
    streamVersions,
    peers: () => this.streamPeers!,
    transports: this.transports,
    whenVersionsLoaded: async () => undefined,
    getVersionHistory: getHistory,
    readCurrentVersions: async (service) => {
      if (this.untoldServices?.has(service) === true) return undefined
      const { readVersions = async () => new Set(getHistory(service).versions.keys()) } = this
      const registered = await readVersions()
      return registered === undefined
        ? undefined
        : { registered, recorded: new Set(), hasOtherProcess: this.hasOtherProcess === true }
    },
    clock,
    metrics: createMetrics(),
    log: createSilentLog()
  })
  const request = { id: 'r9', resumes, lastEventId: 3 } as unknown as CallerRequest
  this.bound = await finder.find(request, [SERVICE, ...this.splitWith?.keys() ?? []])
})

Then('it is bound to version {string}', function (this: FinderWorld, version: string) {
  assert.equal(this.bound._unsafeUnwrap().version, version)
})

Then('it is bound to version {string} of service {string}', function (
  this: FinderWorld, version: string, service: string
) {
  assert.deepEqual(this.bound._unsafeUnwrap(), { service, version })
})

Given('the peers in {string} tell that it began at service {string}', function (
  this: FinderWorld, failureDomain: string, service: string
) {
  this.toldServices = new Map([[failureDomain, service]])
})

Given('stream {string} was heard of with version {string} of service {string}', function (
  this: FinderWorld, attempt: string, version: string, service: string
) {
  this.heard = { attempt, version, service }
})

Given('the service of the route has had version {string}, and the one that it is split with version {string}', function (
  this: FinderWorld, first: string, second: string
) {
  this.history = createHistory(first, false)
  this.splitWith = new Map([[OTHER_SERVICE, createHistory(second, false)]])
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

Then('no peer was asked', function (this: FinderWorld) {
  assert.deepEqual(this.asked, [])
})

After(async function (this: FinderWorld) {
  this.transports?.close()
  await Promise.all((this.streamServers ?? []).map(async (one) => await one.close()))
})
