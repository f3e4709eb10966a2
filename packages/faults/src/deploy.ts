/** Deployments of the fault matrix: few processes, short times, and a link before everything. */
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createHash } from 'node:crypto'
import {
  createCaller, deploymentPlan, startDeployment, type Caller, type Deployment, type RunningProcess
} from '@pimentoplank/standins'
import { SECOND_MS, type ReleaseNote } from 'pimentoplank/shared'
import { createPlatformControl, createTargetControl, type PlatformControl, type TargetControl } from './control'
import { runCli } from './cli'
import { until } from './until'

export const MODEL = 'desk-lm-8b'
export const ENGINE_SERVICE = 'desk-lm'
export const PLAIN_SERVICE = 'bookings'
/** Slots of one engine. */
export const ENGINE_SLOTS = 8
const LIVE_KEY = 'faults-live-key'
const BATCH_KEY = 'faults-batch-key'
const OPERATOR_KEY = 'faults-operator-key'

/** Length of leases here; short, so that takeovers come soon. */
export const LEASE_MS = 1500
const RENEW_MS = 400
/** Bound on waits for something that must come; it only ends a run that would never end. */
export const BOUND_MS = 30 * SECOND_MS

export interface DeployOptions {
  entries?: number
  batches?: number
  controllers?: number
  engines?: number
  /** Extra arguments of the engines. */
  engineArgs?: string[]
  /** Settings laid over those of the matrix. */
  entrySettings?: Record<string, unknown>
}

/** A running deployment, and what a scenario needs to strike and to check it. */
export interface FaultBed {
  deployment: Deployment
  platform: PlatformControl
  /** Engine ids. */
  engines: string[]
  target: (id: string) => TargetControl
  process: (id: string) => RunningProcess
  live: Caller
  batch: Caller
  operator: Caller
  close: () => Promise<void>
}

/** Starts a deployment, applies the first release note and waits until the model answers. */
export async function deploy (options: DeployOptions = {}): Promise<FaultBed> {
  const plan = deploymentPlan.parse({
    region: 'local',
    failureDomains: ['local-a', 'local-b'],
    entries: options.entries ?? 3,
    batches: options.batches ?? 2,
    controllers: options.controllers ?? 1,
    engines: [{
      service: ENGINE_SERVICE,
      count: options.engines ?? 3,
      args: ['--slots', String(ENGINE_SLOTS), '--token-ms', '5', '--first-token-ms', '10', ...(options.engineArgs ?? [])]
    }],
    services: [{ service: PLAIN_SERVICE, count: 2 }],
    settings: {
      entry: {
        directory: { maxAgeMs: SECOND_MS },
        streams: { firstTokenTimeoutMs: 1500, tokenGapTimeoutMs: SECOND_MS },
        ...options.entrySettings
      },
      batch: {
        batch: {
          lease: { lengthMs: LEASE_MS, renewEveryMs: RENEW_MS },
          commit: { everyMs: 200, items: 20 },
          scan: { everyMs: 200, maxEveryMs: 400 },
          cancelGraceMs: SECOND_MS,
          stopGraceMs: 3 * SECOND_MS
        }
      },
      controller: {
        lease: { lengthMs: LEASE_MS, renewEveryMs: RENEW_MS },
        checkEveryMs: 100,
        placementEveryMs: 100,
        drain: { spreadMs: SECOND_MS }
      }
    }
  })
  const folder = await mkdtemp(path.join(tmpdir(), 'pimentoplank-faults-'))
  const deployment = await startDeployment({ plan, folder, links: true })
  const seeds = deployment.entryAddresses()
  const bed: FaultBed = {
    deployment,
    platform: createPlatformControl(deployment.platformUrl),
    engines: [...deployment.processes.keys()].filter((id) => id.startsWith(`${ENGINE_SERVICE}-`)),
    target: (id) => createTargetControl(`http://${deployment.processes.get(id)!.listening.address}`),
    process: (id) => deployment.processes.get(id)!,
    live: createCaller({ seeds, key: LIVE_KEY }),
    batch: createCaller({ seeds, key: BATCH_KEY }),
    operator: createCaller({ seeds, key: OPERATOR_KEY }),
    close: async () => {
      await Promise.all([bed.live.close(), bed.batch.close(), bed.operator.close()])
      // A frozen process would not take the signal to end.
      for (const running of deployment.processes.values()) running.signal('SIGCONT')
      await deployment.stop({ graceMs: 0 })
    }
  }
  await runCli(bed, ['apply'], firstNote())
  await until('the model to answer', async () => {
    const answer = await bed.live.chat({ model: MODEL, prompt: 'ready?', maxTokens: 2 })
    return answer.whole || undefined
  }, BOUND_MS)
  return bed
}

/** The release note that every scenario starts from. */
export function firstNote (): Partial<ReleaseNote> {
  return {
    base: 0,
    message: 'first',
    added: [
      { kind: 'service', name: ENGINE_SERVICE, type: 'engine' },
      { kind: 'service', name: PLAIN_SERVICE, type: 'plain' },
      { kind: 'model', name: MODEL, service: ENGINE_SERVICE, version: '1', weightsMb: 10 },
      account('operator', OPERATOR_KEY, 'operator'),
      account('live', LIVE_KEY, 'caller'),
      account('batch', BATCH_KEY, 'caller')
    ] as ReleaseNote['added']
  }
}

function account (name: string, key: string, role: 'caller' | 'operator'): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { kind: 'account', name, keyHash, role, maxInFlight: 1000, requestsPerSecond: 10_000 }
}
