/** Deployment plan and release note of the benchmarks. */
import { createHash } from 'node:crypto'
import { deploymentPlan, type DeploymentPlan } from '../deployment'
import { FAIL_MARKER } from '../engine'

export const MODEL = 'desk-lm-8b'
export const MODEL_VERSION = '1.0.0'
export const SERVICE = 'desk-lm'
export const ACCOUNT_COUNT = 60
export const KEY_PREFIX = 'bench-key-'
export const BATCH_KEY = 'bench-batch-key'

/** Number, capacity and timings of the engines of a benchmark. */
export interface EnginePace {
  engines: number
  slots: number
  tokenMs: number
  tokenSlopeMs: number
  firstTokenMs: number
  prefillTokenMs: number
  cacheBlocks: number
}

export const DEFAULT_PACE: EnginePace = {
  engines: 4,
  slots: 8,
  tokenMs: 20,
  tokenSlopeMs: 0.5,
  firstTokenMs: 30,
  prefillTokenMs: 0.1,
  cacheBlocks: 256
}

export interface BenchPlanOptions {
  pace?: Partial<EnginePace>
  entries?: number
  batches?: number
  /** Settings that override the defaults, by program. */
  settings?: Partial<DeploymentPlan['settings']>
  platformArgs?: string[]
}

/** Fills in the defaults of the engine configuration. */
export function resolvePace (options: BenchPlanOptions): EnginePace {
  return { ...DEFAULT_PACE, ...options.pace }
}

/** Builds the deployment plan of a benchmark. */
export function createBenchPlan (options: BenchPlanOptions): DeploymentPlan {
  const pace = resolvePace(options)
  return deploymentPlan.parse({
    region: 'bench',
    failureDomains: ['bench-a', 'bench-b', 'bench-c'],
    entries: options.entries ?? 3,
    batches: options.batches ?? 2,
    // The engines start with the model preloaded, so no controller is needed.
    controllers: 0,
    engines: [{ service: SERVICE, count: pace.engines, args: toEngineArguments(pace) }],
    settings: options.settings ?? {},
    platformArgs: options.platformArgs ?? []
  })
}

function toEngineArguments (pace: EnginePace): string[] {
  return [
    '--slots', String(pace.slots),
    '--token-ms', String(pace.tokenMs),
    '--token-slope-ms', String(pace.tokenSlopeMs),
    '--first-token-ms', String(pace.firstTokenMs),
    '--prefill-token-ms', String(pace.prefillTokenMs),
    '--cache-blocks', String(pace.cacheBlocks),
    '--preloaded', `${MODEL}@${MODEL_VERSION}`,
    '--fail-on', FAIL_MARKER
  ]
}

/** Builds the release note: one service, one model and many accounts. */
export function createBenchReleaseNote (options: BenchPlanOptions): object {
  const callers = Array.from({ length: ACCOUNT_COUNT }, (_, index) => createAccount(`load-${index}`, `${KEY_PREFIX}${index}`))
  const { slots } = resolvePace(options)
  return {
    base: 0,
    author: 'bench',
    message: 'Benchmark',
    added: [
      { kind: 'service', name: SERVICE, type: 'engine', slotsPerTarget: slots },
      { kind: 'model', name: MODEL, service: SERVICE, version: MODEL_VERSION, weightsMb: 100 },
      createAccount('batch', BATCH_KEY),
      ...callers
    ]
  }
}

function createAccount (name: string, key: string): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { kind: 'account', name, keyHash, maxInFlight: 10_000, requestsPerSecond: 100_000 }
}
