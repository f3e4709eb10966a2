/** What an instance reports to its peers. */
import type { OwnLoad, OwnReport, Stage } from './gossip'
import { getOpenTokens, type ItemRunner, type JobRegistry } from './jobs'
import type { CrashTracker } from './live'
import type { LoadView, TargetLimits } from './load'
import type { InstancePaths } from './paths'
import type { StreamVersions } from './streams'
import type { TargetDirectory } from './targets'

export interface OwnReportsOptions {
  getStage: () => Stage
  /** Address for requests of callers; empty if this instance serves none. */
  callerAddress: string
  /** Returns the revision of the configuration that this instance has read; negative if it has read none. */
  getConfigRevision: () => number
  jobRegistry: JobRegistry
  runner: Pick<ItemRunner, 'getWaiting'>
  crashes: Pick<CrashTracker, 'getReport'>
  limits: Pick<TargetLimits, 'getNotices'>
  loads: Pick<LoadView, 'getOwnUses' | 'getOwnSuspects'>
  paths: Pick<InstancePaths, 'isCutOff'>
  streamVersions: Pick<StreamVersions, 'getNotices' | 'getLatestNotices'>
  targets: Pick<TargetDirectory, 'getLeavingNotices'>
}

export interface OwnReports {
  getOwnReport: () => OwnReport
  getOwnLoad: () => OwnLoad
}

/** Creates the source of the reports of an instance. */
export function createOwnReports (options: OwnReportsOptions): OwnReports {
  const {
    getStage, callerAddress, getConfigRevision, jobRegistry, runner, crashes, limits, loads, paths, streamVersions,
    targets
  } = options

  function getOwnReport (): OwnReport {
    return {
      stage: getStage(),
      callerAddress,
      jobs: jobRegistry.getNotices(),
      ...crashes.getReport(),
      limits: limits.getNotices(),
      streams: streamVersions.getNotices(),
      leaving: targets.getLeavingNotices(),
      configRevision: Math.max(0, getConfigRevision()),
      openJobs: getOpenTokens(jobRegistry)
    }
  }

  function getOwnLoad (): OwnLoad {
    const suspects = loads.getOwnSuspects()
    return {
      uses: loads.getOwnUses(),
      waiting: runner.getWaiting(),
      suspects: suspects.all,
      unreached: suspects.unreached,
      isCutOff: paths.isCutOff(),
      streams: streamVersions.getLatestNotices(),
      areStreamsBegun: true
    }
  }

  return { getOwnReport, getOwnLoad }
}
