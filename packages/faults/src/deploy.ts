/** Deployments of the fault matrix: few processes, short time-outs, and a controllable link to each process. */
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
import { waitFor } from './waitFor'

export const MODEL = 'desk-lm-8b'
export const ENGINE_SERVICE = 'desk-lm'
export const PLAIN_SERVICE = 'bookings'
/** Slots of one engine. */
export const ENGINE_SLOTS = 8
const LIVE_KEY = 'faults-live-key'
const BATCH_KEY = 'faults-batch-key'
const OPERATOR_KEY = 'faults-operator-key'

/** Lease duration; short, so that takeovers happen soon. */
export const LEASE_MS = 1500
const LEASE_RENEWAL_MS = 400
/** Limit on waits for events that must occur; reached only in runs that would otherwise hang. */
export const MAX_WAIT_MS = 30 * SECOND_MS

export interface DeployOptions {
  entries?: number
  batches?: number
  controllers?: number
  engines?: number
  /** Extra arguments of the engines. */
  engineArgs?: string[]
  /** Overrides of the entry settings. */
  entrySettings?: Record<string, unknown>
}

/** A running deployment, with access to its processes, stand-ins and callers. */
export interface FaultTestbed {
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

/** Starts a deployment, applies the initial release note and waits until the model responds. */
export async function deploy (options: DeployOptions = {}): Promise<FaultTestbed> {
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
          lease: { lengthMs: LEASE_MS, renewEveryMs: LEASE_RENEWAL_MS },
          commit: { everyMs: 200, items: 20 },
          scan: { everyMs: 200, maxEveryMs: 400 },
          cancelGraceMs: SECOND_MS,
          stopGraceMs: 3 * SECOND_MS
        }
      },
      controller: {
        lease: { lengthMs: LEASE_MS, renewEveryMs: LEASE_RENEWAL_MS },
        checkEveryMs: 100,
        placementEveryMs: 100,
        drain: { spreadMs: SECOND_MS }
      }
    }
  })
  const folder = await mkdtemp(path.join(tmpdir(), 'pimentoplank-faults-'))
  const deployment = await startDeployment({ plan, folder, links: true })
  const seeds = deployment.entryAddresses()
  const testbed: FaultTestbed = {
    deployment,
    platform: createPlatformControl(deployment.platformUrl),
    engines: [...deployment.processes.keys()].filter((id) => id.startsWith(`${ENGINE_SERVICE}-`)),
    target: (id) => createTargetControl(`http://${deployment.processes.get(id)!.listening.address}`),
    process: (id) => deployment.processes.get(id)!,
    live: createCaller({ seeds, key: LIVE_KEY }),
    batch: createCaller({ seeds, key: BATCH_KEY }),
    operator: createCaller({ seeds, key: OPERATOR_KEY }),
    close: async () => {
      await Promise.all([testbed.live.close(), testbed.batch.close(), testbed.operator.close()])
      // A frozen process would not react to the stop signal.
      for (const running of deployment.processes.values()) running.signal('SIGCONT')
      await deployment.stop({ graceMs: 0 })
    }
  }
  await frameEveryOtherEngineByConnection(testbed)
  await runCli(testbed, ['apply'], createInitialNote())
  await waitFor('the model to respond', async () => {
    const answer = await testbed.live.chat({ model: MODEL, prompt: 'ready?', maxTokens: 2 })
    return answer.isComplete || undefined
  }, MAX_WAIT_MS)
  return testbed
}

/** Lets every other engine send streams without a length or chunks, which end with their connections. */
async function frameEveryOtherEngineByConnection ({ engines, target }: FaultTestbed): Promise<void> {
  await Promise.all(engines.filter((_, index) => index % 2 === 0)
    .map(async (id) => await target(id).setFaults({ framing: 'connection' })))
}

/** Creates the initial release note of every scenario. */
export function createInitialNote (): Partial<ReleaseNote> {
  return {
    base: 0,
    message: 'first',
    added: [
      { kind: 'service', name: ENGINE_SERVICE, type: 'engine' },
      { kind: 'service', name: PLAIN_SERVICE, type: 'plain' },
      { kind: 'model', name: MODEL, service: ENGINE_SERVICE, version: '1', weightsMb: 10 },
      createAccountEntry('operator', OPERATOR_KEY, 'operator'),
      createAccountEntry('live', LIVE_KEY, 'caller'),
      createAccountEntry('batch', BATCH_KEY, 'caller')
    ] as ReleaseNote['added']
  }
}

function createAccountEntry (name: string, key: string, role: 'caller' | 'operator'): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { kind: 'account', name, keyHash, role, maxInFlight: 1000, requestsPerSecond: 10_000 }
}
