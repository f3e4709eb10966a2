/** Finds the service and software version of a stream that a caller takes up. */
import { createClient } from '@connectrpc/connect'
import { err, ok, type Result } from 'neverthrow'
import {
  describeCause, hash64, RefusalError, StreamService,
  type Clock, type Log, type Metrics, type PeerTransports
} from '../../shared'
import {
  addCurrentVersions, chooseKeepers, findOnlyOrigin, type CurrentVersions, type StreamOrigin, type VersionHistory
} from '../decisions'
import type { PeerView, StreamNotice } from '../gossip'
import type { CallerRequest } from '../model'
import type { ReadCurrentVersions } from './currentVersions'
import type { KnownStream, StreamVersions } from './streamVersions'

export interface StreamVersionFinderOptions {
  streamVersions: StreamVersions
  peers: () => readonly PeerView[]
  transports: PeerTransports
  /** Resolves when the versions that services had before this instance started are known, or after a time. */
  whenVersionsLoaded: (timeoutMs: number) => Promise<void>
  /** Returns the software versions that a service has had. */
  getVersionHistory: (service: string) => VersionHistory
  readCurrentVersions: ReadCurrentVersions
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface StreamVersionFinder {
  /**
   * Finds where the stream began that a request takes up; a refusal if it can't be found out.
   *
   * @param services - all services of the route, at one of which it began unless the route has changed
   */
  find: (request: CallerRequest, services: readonly string[]) => Promise<Result<StreamOrigin, RefusalError>>
  /** Finds the version of a stream that this instance has begun; a refusal if it is in doubt. */
  findOwn: (request: CallerRequest) => Result<string, RefusalError>
}

/** Timeout for asking peers, in milliseconds. */
const ASK_TIMEOUT_MS = 500
/** Longest wait of a request for the versions of services, in milliseconds; they are read as an instance starts. */
const LOAD_TIMEOUT_MS = 150
/** Timeout for reading the current versions of a service, in milliseconds. */
const READ_TIMEOUT_MS = 1500
/** Retry hint for callers whose stream is not known, in milliseconds. */
const UNKNOWN_RETRY_AFTER_MS = 100

interface Found {
  version: string | undefined
  service?: string
  source: string
  ageMs?: number
  /** The only origin that this instance knows of, and the versions that the platform has. */
  only?: StreamOrigin
  current?: string[] | 'unread'
  /** True when another process answered at the address of a target than the registered one. */
  hasOtherProcess?: boolean
}

/** Creates the finder of an instance. */
export function createStreamVersionFinder (options: StreamVersionFinderOptions): StreamVersionFinder {
  const { streamVersions, transports, clock, metrics, log } = options

  async function find (
    request: CallerRequest, services: readonly string[]
  ): Promise<Result<StreamOrigin, RefusalError>> {
    const attempt = request.resumes ?? request.id
    const found = await lookUp(hash64(attempt), request, services)
    const { service, version } = found
    const isKnown = service !== undefined && version !== undefined
    return conclude(request, attempt, found, isKnown ? { service, version } : undefined)
  }

  function findOwn (request: CallerRequest): Result<string, RefusalError> {
    const found = describeKnown(streamVersions.find(hash64(request.id)))
    return conclude(request, request.id, found, found.version)
  }

  /** Peers of older versions don't tell the service, which is known where there is only one. */
  function describeKnown (known: KnownStream | undefined, services: readonly string[] = []): Found {
    if (known === undefined) return { version: undefined, source: 'none' }
    const { version, service = services.length === 1 ? services[0] : undefined, source, at } = known
    return { version, service, source, ageMs: Math.round(clock.now() - at) }
  }

  function conclude<Value> (
    request: CallerRequest, attempt: string, found: Found, value: Value | undefined
  ): Result<Value, RefusalError> {
    const isBound = value !== undefined
    metrics.count(`streams.${isBound ? found.source : 'unknown'}`)
    log.info({
      req: request.id, attempt, lastEvent: request.lastEventId, ...found, outcome: isBound ? 'bound' : 'refused'
    }, 'version of a begun stream')
    return isBound ? ok(value) : err(new RefusalError('streamVersionUnknown', { retryAfterMs: UNKNOWN_RETRY_AFTER_MS }))
  }

  async function lookUp (key: bigint, request: CallerRequest, services: readonly string[]): Promise<Found> {
    const isSplit = services.length > 1
    const heard = streamVersions.find(key)
    const isTold = heard?.version !== undefined && (heard.service !== undefined || !isSplit)
    // A peer may have learned more since it told of the stream.
    if (heard?.source !== 'own' && !isTold) await askPeers(key, request.id, isSplit)
    const known = streamVersions.find(key)
    const found = describeKnown(known, services)
    const isSettled = known !== undefined && (found.version === undefined || found.service !== undefined)
    return isSettled ? found : await concludeOnlyOrigin(key, services, found.version)
  }

  /** Concludes from the versions that the services have had, of which the latest may not be known here yet. */
  async function concludeOnlyOrigin (key: bigint, services: readonly string[], version?: string): Promise<Found> {
    await options.whenVersionsLoaded(LOAD_TIMEOUT_MS)
    const histories = new Map(services.map((service) => [service, options.getVersionHistory(service)]))
    const only = findOnlyOrigin(histories, clock.now(), version)
    if (only === undefined) return { version, source: 'none' }
    const read = await Promise.all(services.map(readCurrent))
    const told = describeKnown(streamVersions.find(key), services)
    if (told.service !== undefined || told.version !== version) return told
    const current = read.flatMap((one) => one ?? [])
    if (current.length < services.length) return { version, source: 'none', only, current: 'unread' }
    const now = clock.now()
    const complete = new Map(services.map((service, index) => (
      [service, addCurrentVersions(options.getVersionHistory(service), current[index]!, now)]
    )))
    const origin = findOnlyOrigin(complete, now, version)
    if (origin !== undefined) return { ...origin, source: 'onlyVersion' }
    return {
      version,
      source: 'none',
      only,
      current: [...new Set(current.flatMap(({ registered, recorded }) => [...registered, ...recorded]))],
      hasOtherProcess: current.some(({ hasOtherProcess }) => hasOtherProcess)
    }
  }

  async function readCurrent (service: string): Promise<CurrentVersions | undefined> {
    const over = new AbortController()
    return await Promise.race([
      options.readCurrentVersions(service), clock.sleep(READ_TIMEOUT_MS, over.signal).then(() => undefined)
    ]).finally(() => over.abort())
  }

  /**
   * Resolves once a peer has named the version, or all have answered.
   *
   * @param needsService - true if the version alone is not enough
   */
  async function askPeers (key: bigint, requestId: string, needsService: boolean): Promise<void> {
    const answers = chooseAsked(key).map(async (peer) => {
      const notice = await askPeer(peer, key, requestId)
      if (notice !== undefined) streamVersions.merge(notice, 'peer')
      // A rejected promise lets the others decide which answer is the first.
      const isTold = notice?.version !== undefined && (notice.service !== undefined || !needsService)
      if (!isTold) throw new Error('the peer does not know where the stream began')
    })
    await Promise.any(answers).catch(() => undefined)
  }

  function chooseAsked (key: bigint): PeerView[] {
    const peers = options.peers()
    const placer = peers.filter((peer) => isPlacer(peer, key))
    return [...new Set([...placer, ...chooseKeepers(key, peers)])]
  }

  function isPlacer ({ report }: PeerView, key: bigint): boolean {
    const placer = streamVersions.findPlacer(key)
    return placer?.instance === report.instance && placer.incarnation === report.incarnation
  }

  async function askPeer (peer: PeerView, key: bigint, requestId: string): Promise<StreamNotice | undefined> {
    const { report } = peer
    try {
      const client = createClient(StreamService, transports.get(report.peerAddress))
      const answer = await client.findVersion({ attempt: key }, { timeoutMs: ASK_TIMEOUT_MS })
      const { known, version, service, keepMs, begun } = answer
      // An older version also tells where others have placed the stream, which may have moved since.
      const isCertain = begun || version === '' || isPlacer(peer, key)
      if (!known || !isCertain) return undefined
      return {
        attempt: key,
        version: version === '' ? undefined : version,
        service: service === '' ? undefined : service,
        keepUntil: clock.now() + keepMs
      }
    } catch (cause) {
      log.info({ req: requestId, peer: report.instance, cause: describeCause(cause) }, 'peer could not be asked for the version of a stream')
      return undefined
    }
  }

  return { find, findOwn }
}
