/**
 * Software versions of streams: at which version a stream that has delivered events may go on.
 *
 * Load pattern: targets of several software versions serve side by side, and what two of them write does not fit
 * together. Streams move from mute targets to others before their first event, and callers take them up at other
 * instances within a millisecond of it, also when the instance that began them is gone. Targets come back at another
 * version under their old id while peers and the platform still list the version before, for seconds if the platform is
 * away. All instances may be killed at once, and callers take up streams that began before, however late they come.
 * An instance may be cut off from its peers or the platform, or stand still, while a version joins. A route may be
 * split between services, whose versions have different names or the same ones, and the split may change.
 */
import { HOUR_MS, rankByRendezvous } from '../../shared'
import type { PeerView } from '../gossip'
import type { Target } from '../model'

/** Which software versions a service has had. */
export interface VersionHistory {
  /**
   * Time since which all versions that served are known, on the monotonic clock in milliseconds; `-Infinity` if those
   * before the start of this instance are known, too.
   */
  knownSince: number
  /** When each version was last registered, as far as known; infinite while it is. */
  versions: ReadonlyMap<string, number>
  /** True when the entry of a target of the service is out of date, so that another version may serve. */
  hasOutdatedEntries: boolean
}

/**
 * Streams of a version that has been gone for this long are not taken up any more, in milliseconds. No deadline or
 * timeout bounds that: callers may try again for as long as they like.
 */
export const FORGET_VERSION_MS = HOUR_MS

/** Where a stream began. Targets of two services don't fit together, also if their versions have the same name. */
export interface StreamOrigin {
  service: string
  version: string
}

/**
 * Finds where a stream began of which its service, or nothing, is known: at the only version of the only service that
 * comes into question.
 *
 * @param histories - versions of all services that it may have begun at
 * @param now - time on the monotonic clock, in milliseconds
 * @param version - its version, if that is known
 */
export function findOnlyOrigin (
  histories: ReadonlyMap<string, VersionHistory>, now: number, version?: string
): StreamOrigin | undefined {
  const since = now - FORGET_VERSION_MS
  const isCertain = [...histories.values()].every((one) => one.knownSince <= since && !one.hasOutdatedEntries)
  if (!isCertain) return undefined
  const origins = [...histories].flatMap(([service, { versions }]) => [...versions]
    .filter(([name, lastAt]) => lastAt >= since && (version === undefined || name === version))
    .map(([name]): StreamOrigin => ({ service, version: name })))
  return origins.length === 1 ? origins[0] : undefined
}

/** Which versions a service has now. */
export interface CurrentVersions {
  /** Versions of registered targets. */
  registered: ReadonlySet<string>
  /** Versions that instances have recorded, also of targets that are gone. */
  recorded: ReadonlySet<string>
  /** True when another process answers at the address of a target than the registered one. */
  hasOtherProcess: boolean
}

/** Adds versions that have joined to a history that may be behind. */
export function addCurrentVersions (history: VersionHistory, current: CurrentVersions, now: number): VersionHistory {
  const joined = [...current.recorded].filter((version) => !history.versions.has(version))
  return {
    ...history,
    versions: new Map([
      ...history.versions,
      ...joined.map((version): [string, number] => [version, now]),
      ...[...current.registered].map((version): [string, number] => [version, Infinity])
    ]),
    hasOutdatedEntries: history.hasOutdatedEntries || current.hasOtherProcess
  }
}

/** Instances of each failure domain that are told of a stream as it begins, and asked when it is taken up. */
const KEEPERS_PER_DOMAIN = 2

/**
 * Chooses the peers that know at which version a stream began. The one that begins it and the one where it is taken up
 * come to the same peers if they know the same ones, apart from themselves.
 *
 * @param attempt - hash of the id of the attempt that brings the first event
 */
export function chooseKeepers (attempt: bigint, peers: readonly PeerView[]): PeerView[] {
  const started = peers.filter(({ report }) => report.stage !== 'starting')
  const domains = new Set(started.map(({ report }) => report.failureDomain))
  return [...domains].flatMap((domain) => {
    const members = started.filter(({ report }) => report.failureDomain === domain)
    return rankByRendezvous(String(attempt), members, ({ report }) => report.instance).slice(0, KEEPERS_PER_DOMAIN)
  })
}

/** Target at which a stream may go on. */
export interface ResumeCandidate {
  id: string
  version: string
  /** True when another process than the listed one answers at its address; the version of that one is not known. */
  isOutdated: boolean
}

export interface ResumeInput {
  /** Version of the stream. */
  version: string
  /** Targets that have failed the request before. */
  excluded: ReadonlySet<string>
  /** Those of them that may be used again where there are no others. */
  reusable?: ReadonlySet<string>
}

/**
 * Lists the targets at which a stream may go on, of its version only. Those that have failed it are used again where
 * there are no others.
 */
export function listResumeCandidates<Candidate extends ResumeCandidate> (
  candidates: readonly Candidate[],
  { version, excluded, reusable }: ResumeInput
): Candidate[] {
  const matching = candidates.filter((one) => one.version === version && !one.isOutdated)
  const hasOnlyFailed = matching.every(({ id }) => reusable?.has(id) === true)
  return hasOnlyFailed ? matching : matching.filter(({ id }) => !excluded.has(id))
}

/** Process that a stream runs at. */
export interface PlacedProcess {
  /** Id of the target. */
  target: string
  /** When the process that got the stream started, by its own clock; undefined if that is not known. */
  startedAt: number | undefined
}

/** Returns the version at which a stream runs; undefined unless an entry describes the very process that got it. */
export function findPlacedVersion (
  { target, startedAt }: PlacedProcess,
  entries: ReadonlyArray<Pick<Target, 'id' | 'startedAt' | 'version'> | undefined>
): string | undefined {
  return entries.find((entry) => entry?.id === target && entry.startedAt === startedAt)?.version
}
