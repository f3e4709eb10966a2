/** Finds the software version of a stream that a caller takes up. */
import { createClient } from '@connectrpc/connect'
import { err, ok, type Result } from 'neverthrow'
import {
  describeCause, hash64, RefusalError, StreamService,
  type Clock, type Log, type Metrics, type PeerTransports
} from '../../shared'
import {
  addCurrentVersions, chooseKeepers, findOnlyVersion, joinHistories, type CurrentVersions, type VersionHistory
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
   * Finds the version of the stream that a request takes up; a refusal if it can't be found out.
   *
   * @param services - all services that the stream may have begun at
   */
  find: (request: CallerRequest, services: readonly string[]) => Promise<Result<string, RefusalError>>
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
  source: string
  ageMs?: number
  /** The only version that this instance knows of, and those that the platform has. */
  only?: string
  current?: string[] | 'unread'
  /** True when another process answered at the address of a target than the registered one. */
  hasOtherProcess?: boolean
}

/** Creates the finder of an instance. */
export function createStreamVersionFinder (options: StreamVersionFinderOptions): StreamVersionFinder {
  const { streamVersions, transports, clock, metrics, log } = options

  async function find (request: CallerRequest, services: readonly string[]): Promise<Result<string, RefusalError>> {
    const attempt = request.resumes ?? request.id
    return conclude(request, attempt, await lookUp(hash64(attempt), request, services))
  }

  function findOwn (request: CallerRequest): Result<string, RefusalError> {
    return conclude(request, request.id, describeKnown(streamVersions.find(hash64(request.id))))
  }

  function describeKnown (known: KnownStream | undefined): Found {
    if (known === undefined) return { version: undefined, source: 'none' }
    return { version: known.version, source: known.source, ageMs: Math.round(clock.now() - known.at) }
  }

  function conclude (request: CallerRequest, attempt: string, found: Found): Result<string, RefusalError> {
    const isBound = found.version !== undefined
    metrics.count(`streams.${isBound ? found.source : 'unknown'}`)
    log.info({
      req: request.id, attempt, lastEvent: request.lastEventId, ...found, outcome: isBound ? 'bound' : 'refused'
    }, 'version of a begun stream')
    return found.version === undefined
      ? err(new RefusalError('streamVersionUnknown', { retryAfterMs: UNKNOWN_RETRY_AFTER_MS }))
      : ok(found.version)
  }

  async function lookUp (key: bigint, request: CallerRequest, services: readonly string[]): Promise<Found> {
    const heard = streamVersions.find(key)
    // A peer may have learned the version since it told of the stream.
    if (heard?.source !== 'own' && heard?.version === undefined) await askPeers(key, request.id)
    const known = streamVersions.find(key)
    if (known !== undefined) return describeKnown(known)
    return await concludeOnlyVersion(key, services)
  }

  /** Concludes from the versions that the services have had, of which the latest may not be known here yet. */
  async function concludeOnlyVersion (key: bigint, services: readonly string[]): Promise<Found> {
    await options.whenVersionsLoaded(LOAD_TIMEOUT_MS)
    const only = findOnlyVersion(joinHistories(services.map(options.getVersionHistory)), clock.now())
    if (only === undefined) return { version: undefined, source: 'none' }
    const read = await Promise.all(services.map(readCurrent))
    const known = streamVersions.find(key)
    if (known !== undefined) return describeKnown(known)
    const current = read.flatMap((one) => one ?? [])
    if (current.length < services.length) return { version: undefined, source: 'none', only, current: 'unread' }
    const now = clock.now()
    const histories = current.map((one, index) => (
      addCurrentVersions(options.getVersionHistory(services[index]!), one, now)
    ))
    const version = findOnlyVersion(joinHistories(histories), now)
    if (version !== undefined) return { version, source: 'onlyVersion' }
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

  /** Resolves once a peer has named the version, or all have answered. */
  async function askPeers (key: bigint, requestId: string): Promise<void> {
    const answers = chooseAsked(key).map(async (peer) => {
      const notice = await askPeer(peer, key, requestId)
      if (notice !== undefined) streamVersions.merge(notice, 'peer')
      // A rejected promise lets the others decide which answer is the first.
      if (notice?.version === undefined) throw new Error('the peer does not know the version of the stream')
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
      const { known, version, keepMs, begun } = answer
      // An older version also tells where others have placed the stream, which may have moved since.
      const isCertain = begun || version === '' || isPlacer(peer, key)
      if (!known || !isCertain) return undefined
      return { attempt: key, version: version === '' ? undefined : version, keepUntil: clock.now() + keepMs }
    } catch (cause) {
      log.info({ req: requestId, peer: report.instance, cause: describeCause(cause) }, 'peer could not be asked for the version of a stream')
      return undefined
    }
  }

  return { find, findOwn }
}
