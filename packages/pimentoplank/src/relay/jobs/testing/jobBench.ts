/** The job interface of an instance on a platform in memory, for tests with a clock of their own. */
import type { Result } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../../features/support/manualClock'
import { createMemoryPlatform, type MemoryPlatform } from '../../../../features/support/memoryPlatform'
import { createInMemoryMetrics, createSilentLog, type PeerTransports, type RefusalError } from '../../../shared'
import type { Route } from '../../model'
import { RELAY_RULES } from '../../rules'
import {
  createJobApi, createJobInputs, createJobManager, createJobReconciler, createJobRegistry, createJobStore, createQuota,
  createRecordView, type JobApi, type JobApiOptions, type JobItem, type JobManager, type JobManagerOptions,
  type JobReconciler, type JobRegistry
} from '..'

export interface JobBench {
  clock: ManualClock
  platform: MemoryPlatform
  registry: JobRegistry
  manager: JobManager
  reconciler: JobReconciler
  api: JobApi
}

export interface JobBenchOptions {
  id?: string
  /** Clock and platform of another instance that this one shares. */
  shared?: Pick<JobBench, 'clock' | 'platform'>
  limits?: Pick<JobApiOptions, 'maxWaitingReads'> & Pick<JobManagerOptions, 'maxBodyChars' | 'maxResultChars'>
}

const MAX_OBJECT_BYTES = 1_048_576
const STEP_MS = 20
/** Time that a call of the platform takes, in milliseconds. */
const ANSWER_MS = 10
const SUBMISSION_MS = 200
const NOTICE_MS = 5000

const ROUTE: Route = {
  name: 'batch',
  host: 'h',
  pathPrefix: '/',
  kind: 'batch',
  services: [],
  timeoutMs: 1000,
  targetLatencyMs: 1000,
  targetGapMs: 1000,
  priority: 0,
  maxAttempts: 3,
  isResumable: true,
  batch: { completionTargetMs: 60_000, retentionMs: 60_000, maxWaitingTokens: 0 }
}

function createSharedParts (): Pick<JobBench, 'clock' | 'platform'> {
  const clock = createManualClock()
  const platform = createMemoryPlatform()
  platform.delayOf = async () => await clock.sleep(ANSWER_MS)
  return { clock, platform }
}

export function createJobBench (
  { id = 'instance-1', shared = createSharedParts(), limits = {} }: JobBenchOptions = {}
): JobBench {
  const { clock, platform } = shared
  const log = createSilentLog()
  const metrics = createInMemoryMetrics()
  const store = createJobStore(platform.client(id), clock)
  const jobRegistry = createJobRegistry({ self: id, noticeMs: NOTICE_MS, onNotice: () => undefined, clock, log })
  const surroundings = { peers: () => [], isLeaving: () => false }
  const common = { self: id, jobRegistry, store, ...surroundings, clock, random: () => 0.5, metrics, log }
  const manager = createJobManager({
    ...common,
    ...limits,
    table: () => undefined,
    onItemsReady: () => undefined,
    onStop: () => undefined,
    rules: { ...RELAY_RULES.jobs, keepMs: 60_000, maxObjectBytes: MAX_OBJECT_BYTES }
  })
  const recordView = createRecordView(common)
  const reconciler = createJobReconciler({ ...common, jobManager: manager, recordView })
  reconciler.start(0)
  const api = createJobApi({
    ...common,
    ...limits,
    jobManager: manager,
    inputs: createJobInputs({ store, log }),
    transports: {} as unknown as PeerTransports,
    quota: createQuota({ ...common, recordView }),
    recordFollower: { mayDenyResults: () => true, refresh: async () => true },
    onAccepted: () => undefined,
    maxObjectBytes: MAX_OBJECT_BYTES
  })
  return { clock, platform, registry: jobRegistry, manager, reconciler, api }
}

/** Lets time pass in small steps, so that work which sleeps is done in order. */
export async function passTime ({ clock }: Pick<JobBench, 'clock'>, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) await clock.advance(STEP_MS)
}

/** Begins to submit a job without waiting for anything. */
export async function beginSubmission (
  { api }: JobBench, id: string, count: number, body = ''
): Promise<Result<void, RefusalError>> {
  const items: JobItem[] = Array.from({ length: count }, (_, index) => (
    { id: `${id}-${index}`, path: '/x', headers: [], body, tokens: 1 }
  ))
  return await api.submit({ id, host: 'h', route: ROUTE, items })
}

/** Submits a job of a number of items with the same body in base64. */
export async function submitJob (
  bench: JobBench, id: string, count: number, body?: string
): Promise<Result<void, RefusalError>> {
  const submitting = beginSubmission(bench, id, count, body)
  await passTime(bench, SUBMISSION_MS)
  return await submitting
}
