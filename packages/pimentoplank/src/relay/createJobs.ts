/** The batch jobs of an instance: the jobs that it knows, their items' runs, and their interface for callers. */
import type { Clock, Log, Metrics, PeerTransports, PlatformClient, Random } from '../shared'
import { JOB_NOTICE_MS, MAX_READ_AGE_MS, RECORD_AGE_SHARE, UNANSWERED_AGE_SHARE } from './constants'
import type { Exchange } from './exchange'
import type { Gossip } from './gossip'
import {
  createItemRunner, createJobApi, createJobInputs, createJobManager, createJobReconciler, createJobRegistry,
  createJobStore, createQuota, createRecordFollower, createRecordView,
  type ItemRunner, type JobApi, type JobManager, type JobReconciler, type JobRegistry, type JobStore,
  type RecordFollower
} from './jobs'
import type { CrashTracker } from './live'
import type { LoadView } from './load'
import type { InstancePaths } from './paths'
import type { RouteTable } from './routing'
import { RELAY_RULES } from './rules'
import type { RelaySettings } from './settings'

export interface JobsOptions {
  instance: RelaySettings['instance']
  bounds: RelaySettings['bounds']
  /** Maximum size of an object at the platform, in bytes. */
  maxObjectBytes: number
  platform: PlatformClient
  transports: PeerTransports
  gossip: Gossip
  loads: LoadView
  crashes: CrashTracker
  exchange: Exchange
  paths: InstancePaths
  table: () => RouteTable | undefined
  /** True once this instance has closed. */
  isClosed: () => boolean
  /** True once this instance shuts down. */
  isLeaving: () => boolean
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface Jobs {
  jobRegistry: JobRegistry
  store: JobStore
  recordFollower: RecordFollower
  runner: ItemRunner
  jobManager: JobManager
  jobReconciler: JobReconciler
  jobs: JobApi
}

/** Creates the parts of an instance that has no job yet. */
export function createJobs (options: JobsOptions): Jobs {
  const {
    instance, bounds, maxObjectBytes, platform, transports, gossip, loads, crashes, exchange, paths, table, isClosed,
    isLeaving, clock, random, metrics, log
  } = options
  const jobRegistry = createJobRegistry({
    self: instance.id, noticeMs: JOB_NOTICE_MS, onNotice: () => gossip.reportNow(), clock, log
  })
  const store = createJobStore(platform, clock)
  const inputs = createJobInputs({ store, log })
  const recordView = createRecordView({ store, clock, metrics })
  const recordFollower = createRecordFollower({
    self: instance.id,
    jobRegistry,
    store,
    rules: {
      maxAgeMs: bounds.jobEndMs * RECORD_AGE_SHARE,
      maxUnansweredAgeMs: bounds.jobEndMs * UNANSWERED_AGE_SHARE,
      maxReadAgeMs: MAX_READ_AGE_MS
    },
    clock,
    metrics,
    log
  })
  const runner = createItemRunner({
    self: instance.id,
    jobRegistry,
    inputs,
    loads,
    crashes,
    exchange,
    paths,
    table,
    peers: gossip.peers,
    failureDomain: instance.failureDomain,
    rules: RELAY_RULES.items,
    mayStart: recordFollower.mayStart,
    mayAwaitAnswers: recordFollower.mayAwaitAnswers,
    isPaused: () => isClosed() || isLeaving(),
    onFinished: (job) => jobManager.scheduleStore(job),
    clock,
    random,
    metrics,
    log
  })
  const jobManager = createJobManager({
    self: instance.id,
    jobRegistry,
    store,
    table,
    peers: gossip.peers,
    isLeaving,
    onItemsReady: () => runner.dispatch(),
    onStop: (job) => runner.stopJob(job),
    rules: { ...RELAY_RULES.jobs, keepMs: bounds.jobStatusMs, maxObjectBytes },
    clock,
    random,
    metrics,
    log
  })
  const jobReconciler = createJobReconciler({
    self: instance.id,
    jobRegistry,
    jobManager,
    recordView,
    peers: gossip.peers,
    isLeaving,
    clock,
    random,
    metrics,
    log
  })
  const jobs = createJobApi({
    self: instance.id,
    jobRegistry,
    jobManager,
    store,
    inputs,
    transports,
    peers: gossip.peers,
    recordFollower,
    quota: createQuota({ jobRegistry, recordView, peers: gossip.peers, log }),
    onAccepted: () => runner.dispatch(),
    maxObjectBytes,
    isLeaving,
    clock,
    random,
    metrics,
    log
  })

  return { jobRegistry, store, recordFollower, runner, jobManager, jobReconciler, jobs }
}
