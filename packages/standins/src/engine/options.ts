/** Options of the engine stand-in. */
import { createSystemClock, SECOND_MS, type Clock } from 'pimentoplank/shared'
import type { ListenOptions } from '../shared'

export interface EngineStandinOptions extends ListenOptions {
  clock?: Clock
  /** Id in the instance list. */
  id?: string
  service?: string
  failureDomain?: string
  region?: string
  /** URL of the platform stand-in: where the engine lists itself and where weights come from. */
  platform?: string
  /** Requests that run at once; more wait in order of arrival. */
  slots?: number
  /** Time of one step with one running stream, in milliseconds. */
  tokenMs?: number
  /** What each further running stream adds to a step, in milliseconds. */
  tokenSlopeMs?: number
  /** Least time to the first token, in milliseconds. */
  firstTokenMs?: number
  /** Prefill time of one prompt token that is not cached, in milliseconds. */
  prefillTokenMs?: number
  /** Prompt prefixes of 256 characters that fit into the cache. */
  cacheBlocks?: number
  /** Delay of cache events, in milliseconds. */
  cacheEventLagMs?: number
  /** Every so many cache events one is lost. */
  cacheEventGapEvery?: number
  /** Age of the load report, in milliseconds. */
  loadLagMs?: number
  /** How long a stream goes on without a connection, in milliseconds. */
  detachGraceMs?: number
  /** How long the resume point of a stopped stream is kept, in milliseconds. */
  keepStreamsMs?: number
  /** True when orders with an old fencing number are refused. */
  checksFencing?: boolean
  /** Models that are ready from the start, as `name` or `name@version`. */
  preloaded?: readonly string[]
  /** Called when a marked prompt ends the engine; by default it drops every connection and stops listening. */
  onCrash?: () => void
}

export type ResolvedEngineStandinOptions =
  Required<Omit<EngineStandinOptions, 'platform' | 'onCrash' | 'host' | 'port'>> &
  Pick<EngineStandinOptions, 'platform' | 'onCrash'>

/** Fills in the defaults. */
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
    onCrash: options.onCrash
  }
}
