/** Test bench: entry instances with stand-ins of the platform and targets, in one process. */
import { Readable } from 'node:stream'
import { createEngineStandin, createPlatformStandin, createServiceStandin } from '@pimentoplank/standins'
import type { EngineStandin, PlatformStandin, ServiceStandin } from '@pimentoplank/standins'
import { errAsync, okAsync } from 'neverthrow'
import { Agent, request, type Dispatcher } from 'undici'
import {
  configEntry, createPlatformClient, createSilentLog, createSnapshot, createStaticConfig, createStaticMembership,
  createMetrics, RefusalError,
  type InstanceRecord, type MembershipView, type Metrics, type ObjectFeed, type RefusalReason,
  type SlotClient, type SlotReport
} from '../../shared'
import { hashKey } from '../api'
import { createEntry, type Entry } from '../createEntry'
import { entrySettings } from '../settings'

export const MODEL = 'desk-lm-8b'
export const KEY = 'key-of-desk'
const PEER_KEY = 'a-shared-key-of-tests'

const CONFIG = [
  { kind: 'service', name: 'desk-lm', type: 'engine' },
  { kind: 'service', name: 'bookings', type: 'plain', idempotentMethods: ['GET', 'PUT'] },
  { kind: 'model', name: MODEL, service: 'desk-lm', version: '1', adapters: [{ name: 'guides', version: '1' }] },
  { kind: 'account', name: 'desk', keyHash: hashKey(KEY), requestsPerSecond: 1000 },
  { kind: 'account', name: 'slow', keyHash: hashKey('key-of-slow'), requestsPerSecond: 0.5, maxInFlight: 1 }
]

export interface EntryBenchOptions {
  engines?: number
  /** Software versions of the engines, by index. */
  versions?: readonly string[]
  services?: number
  entries?: number
  /** Overrides the settings of every entry instance. */
  settings?: Record<string, unknown>
}

export interface EntryBench {
  platform: PlatformStandin
  platformUrl: string
  engines: EngineStandin[]
  services: ServiceStandin[]
  entries: Entry[]
  metrics: Metrics[]
  membership: ReturnType<typeof createStaticMembership>
  config: ReturnType<typeof createStaticConfig>
  slots: FakeSlots
  /** Sends a request to an entry instance. */
  send: (path: string, options?: SendOptions) => Promise<Reply>
  /** Starts another instance, for example to replace one. */
  addEntry: (id?: string) => Promise<Entry>
  close: () => Promise<void>
}

export interface SendOptions {
  entry?: number
  method?: Dispatcher.HttpMethod
  key?: string | null
  headers?: Record<string, string>
  body?: unknown
  /** Sends the body without declaring its length. */
  chunked?: boolean
  signal?: AbortSignal
}

export interface Reply {
  status: number
  headers: Record<string, string | string[] | undefined>
  text: string
  json: any
  /** True when the connection broke before the end of the body. */
  broken: boolean
}

interface FakeSlots extends SlotClient {
  /** Reports of released slots, in order of release. */
  reports: Array<SlotReport & { target: string }>
  /** Returns the number of slots that are granted and not yet released. */
  getHeldCount: () => number
  /** Refuses requests for slots after the next grant: the given number of them, or all. */
  refuseAfterNextGrant: (reason: RefusalReason, count?: number) => void
}

/** Creates a slot client that always grants the first target, in order of id, that is not excluded. */
function createFakeSlots (membership: MembershipView): FakeSlots {
  const reports: FakeSlots['reports'] = []
  let heldCount = 0
  let refusal: { reason: RefusalReason, left: number, isActive: boolean } | undefined
  return {
    reports,
    getHeldCount: () => heldCount,
    refuseAfterNextGrant: (reason, count = Infinity) => { refusal = { reason, left: count, isActive: false } },
    acquire: ({ service, excluded }) => {
      if (refusal?.isActive === true && refusal.left > 0) {
        refusal.left -= 1
        return errAsync(new RefusalError(refusal.reason, { retryAfterMs: 1 }))
      }
      const target = [...membership.targets(service)].sort((a, b) => a.id < b.id ? -1 : 1)
        .find(({ id }) => !excluded.includes(id))
      if (target === undefined) return errAsync(new RefusalError('noTarget'))
      heldCount += 1
      if (refusal !== undefined) refusal.isActive = true
      let isReleased = false
      return okAsync({
        target,
        revoked: new AbortController().signal,
        release: (report) => {
          if (isReleased) return
          isReleased = true
          heldCount -= 1
          reports.push({ ...report, target: target.id })
        }
      })
    },
    close: async () => undefined
  }
}

/** Creates a feed that reads the objects of the platform without delay. */
function createFeed (platform: PlatformStandin): Pick<ObjectFeed, 'objects' | 'offer'> {
  return {
    objects: (kind) => new Map(platform.readAll(kind).map((object) => [object.name, object])),
    offer: () => undefined
  }
}

/** Starts stand-ins and entry instances. */
export async function createEntryBench (options: EntryBenchOptions = {}): Promise<EntryBench> {
  const platform = createPlatformStandin()
  const platformUrl = (await platform.start()).url
  const engines = await Promise.all(createRange(options.versions?.length ?? options.engines ?? 2).map(async (index) => {
    const engine = createEngineStandin({
      id: `engine-${index}`,
      softwareVersion: options.versions?.[index],
      preloaded: [MODEL],
      tokenMs: 2,
      firstTokenMs: 1,
      prefillTokenMs: 0,
      // Longer than a scenario, so that only an explicit cancellation ends a detached stream.
      detachGraceMs: 60_000
    })
    await engine.start()
    return engine
  }))
  const services = await Promise.all(createRange(options.services ?? 0).map(async (index) => {
    const service = createServiceStandin({ id: `service-${index}` })
    await service.start()
    return service
  }))
  const records: InstanceRecord[] = [...engines, ...services].map((target) => target.getInstanceRecord())
  const membership = createStaticMembership(records)
  const config = createStaticConfig(createSnapshot(1, CONFIG.map((entry) => configEntry.parse(entry))))
  const slots = createFakeSlots(membership)
  const entries: Entry[] = []
  const metrics: Metrics[] = []
  const agent = new Agent({ keepAliveTimeout: 1000 })
  const bench: EntryBench = {
    platform, platformUrl, engines, services, entries, metrics, membership, config, slots, send, addEntry, close
  }

  async function addEntry (id = `entry-${entries.length}`): Promise<Entry> {
    const settings = entrySettings.parse({
      instance: { id, failureDomain: 'rum-a', region: 'jo-south' },
      platform: { url: platformUrl, timeoutMs: 300 },
      peers: { sharedKey: PEER_KEY },
      listen: { port: 0 },
      streams: { firstTokenTimeoutMs: 500, tokenGapTimeoutMs: 200 },
      ...options.settings
    })
    const entryMetrics = createMetrics()
    const started = await createEntry(settings, {
      platform: createPlatformClient({ url: platformUrl, timeoutMs: 300, instance: id }),
      config,
      membership,
      feed: createFeed(platform),
      slots,
      security: { sharedKey: PEER_KEY },
      log: createSilentLog(),
      metrics: entryMetrics
    })
    const entry = started._unsafeUnwrap()
    entries.push(entry)
    metrics.push(entryMetrics)
    records.push({
      id,
      role: 'entry',
      address: entry.address,
      peerAddress: entry.peerAddress,
      failureDomain: 'rum-a',
      region: 'jo-south',
      state: 'live'
    })
    membership.set(records)
    return entry
  }

  async function send (path: string, sendOptions: SendOptions = {}): Promise<Reply> {
    const { entry = 0, key = KEY, method = 'GET', body } = sendOptions
    const res = await request(`http://${entries[entry]!.address}${path}`, {
      dispatcher: agent,
      method,
      headers: {
        ...(key === null ? {} : { authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...sendOptions.headers
      },
      body: encodeBody(sendOptions),
      signal: sendOptions.signal
    })
    return await readReply(res)
  }

  async function close (): Promise<void> {
    // A stand-in polls while a request is paused, which would keep the test process alive.
    for (const service of services) service.setFaults({ hold: null })
    await Promise.all(entries.map(async (entry) => await entry.close()))
    await Promise.all([...engines, ...services, platform].map(async (standin) => await standin.close()))
    await agent.destroy()
  }

  for (const index of createRange(options.entries ?? 1)) await addEntry(`entry-${index}`)
  return bench
}

function encodeBody ({ body, chunked }: SendOptions): string | Readable | undefined {
  if (body === undefined) return undefined
  const text = typeof body === 'string' ? body : JSON.stringify(body)
  return chunked === true ? Readable.from([text]) : text
}

/** Reads a response up to its end or to where its connection breaks. */
export async function readReply (res: Dispatcher.ResponseData): Promise<Reply> {
  const chunks: Buffer[] = []
  let broken = false
  try {
    for await (const chunk of res.body) chunks.push(chunk)
  } catch {
    broken = true
  }
  const text = Buffer.concat(chunks).toString()
  return { status: res.statusCode, headers: res.headers, text, json: parse(text), broken }
}

/** Parses the events of a stream; `done` is true when it ended with `[DONE]`. */
export function readEvents (text: string): { text: string, tokens: number, done: boolean, error: any } {
  const data = text.split('\n').filter((line) => line.startsWith('data: ')).map((line) => line.slice('data: '.length))
  const chunks = data.filter((line) => line !== '[DONE]').map(parse)
  const tokens = chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? chunk.choices?.[0]?.text ?? '').filter(Boolean)
  const error = text.includes('event: error') ? chunks.at(-1) : undefined
  return { text: tokens.join(''), tokens: tokens.length, done: data.at(-1) === '[DONE]', error }
}

function parse (text: string): any {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function createRange (count: number): number[] {
  return Array.from({ length: count }, (_, index) => index)
}
