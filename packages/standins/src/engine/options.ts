/** Options of the engine stand-in. */
import { createSystemClock, SECOND_MS, type Clock } from 'pimentoplank/shared'
import type { ListenOptions } from '../shared'

export interface EngineStandinOptions extends ListenOptions {
  clock?: Clock
  /** ID in the instance list. */
  id?: string
  service?: string
  failureDomain?: string
  region?: string
  /** URL of the platform stand-in, where the engine registers itself and fetches weights. */
  platform?: string
  /** Maximum number of concurrent requests; further ones are queued in order of arrival. */
  slots?: number
  /** Duration of a step with one running stream, in milliseconds. */
  tokenMs?: number
  /** Time that each further running stream adds to a step, in milliseconds. */
  tokenSlopeMs?: number
  /** Minimum time to the first token, in milliseconds. */
  firstTokenMs?: number
  /** Prefill time of one uncached prompt token, in milliseconds. */
  prefillTokenMs?: number
  /** Capacity of the prefix cache, in blocks of 256 characters. */
  cacheBlocks?: number
  /** Delay of cache events, in milliseconds. */
  cacheEventLagMs?: number
  /** One in this many cache events is lost. */
  cacheEventGapEvery?: number
  /** Age of the load report, in milliseconds. */
  loadLagMs?: number
  /** How long a stream continues without a connection, in milliseconds. */
  detachGraceMs?: number
  /** How long the state of a cancelled stream is kept for resumption, in milliseconds. */
  keepStreamsMs?: number
  /** Whether orders with an outdated fencing token are rejected. */
  checksFencing?: boolean
  /** Version of the engine's software, in its list entry and in the headers of its streams; absent by default. */
  softwareVersion?: string
  /** Models that are ready at start, as `name` or `name@version`. */
  preloaded?: readonly string[]
  /** Called when a marked prompt crashes the engine. By default every connection is closed and listening stops. */
  onCrash?: () => void
}

export type ResolvedEngineStandinOptions =
  Required<Omit<EngineStandinOptions, 'platform' | 'onCrash' | 'softwareVersion' | 'host' | 'port'>> &
  Pick<EngineStandinOptions, 'platform' | 'onCrash' | 'softwareVersion'>

/** Fills in the default values. */
export function resolveEngineOptions (options: EngineStandinOptions): ResolvedEngineStandinOptions {
  return {
    clock: options.clock ?? createSystemClock(),
    id: options.id ?? 'engine-0',
    service: options.service ?? 'desk-lm',
    failureDomain: options.failureDomain ?? 'rum-a',
    region: options.region ?? 'jo-south',
    platform: options.platform,
    slots: options.slots ?? 8,
    tokenMs: options.tokenMs ?? 20,
    tokenSlopeMs: options.tokenSlopeMs ?? 0.5,
    firstTokenMs: options.firstTokenMs ?? 30,
    prefillTokenMs: options.prefillTokenMs ?? 0.1,
    cacheBlocks: options.cacheBlocks ?? 256,
    cacheEventLagMs: options.cacheEventLagMs ?? 500,
    cacheEventGapEvery: options.cacheEventGapEvery ?? 50,
    loadLagMs: options.loadLagMs ?? 200,
    detachGraceMs: options.detachGraceMs ?? 2 * SECOND_MS,
    keepStreamsMs: options.keepStreamsMs ?? 30 * SECOND_MS,
    checksFencing: options.checksFencing ?? false,
    preloaded: options.preloaded ?? [],
    onCrash: options.onCrash,
    softwareVersion: options.softwareVersion
  }
}
