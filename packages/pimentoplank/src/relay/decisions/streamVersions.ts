/**
 * Software versions of streams: at which version a stream that has delivered events may go on.
 *
 * Load pattern: targets of several software versions serve side by side, and what two of them write does not fit
 * together. Streams break, callers take them up at other instances, and targets come back at another version under
 * their old id while peers and the platform still list the version before, for seconds if the platform is away. All
 * instances may be killed at once, and callers take up streams that began before, however late they come.
 */
import { HOUR_MS } from '../../shared'
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

/**
 * Finds the version of a stream of which nothing is known: the only one that the service has had.
 *
 * @param now - time on the monotonic clock, in milliseconds
 */
export function findOnlyVersion (history: VersionHistory, now: number): string | undefined {
  const since = now - FORGET_VERSION_MS
  if (history.knownSince > since || history.hasOutdatedEntries) return undefined
  const recent = [...history.versions].filter(([, lastAt]) => lastAt >= since).map(([version]) => version)
  return recent.length === 1 ? recent[0] : undefined
}

/** Reports of a peer that may be missed in a row, since those after them tell again where streams were placed. */
const MAX_MISSED_REPORTS = 3

/** Number of a report in the order in which a process sent it. */
export interface ReportNumber {
  incarnation: number
  sequence: number
}

/**
 * True if so many reports of a peer were missed that some may have told where a stream was placed anew. A process that
 * stands still for a second loses those that don't fit into the buffer of its socket.
 *
 * @param before - the report before; undefined if the peer was not known or had been silent
 */
export function hasMissedReports (report: ReportNumber, before: ReportNumber | undefined): boolean {
  if (before?.incarnation !== report.incarnation) return true
  return report.sequence - before.sequence > MAX_MISSED_REPORTS + 1
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

/** Where a stream was placed. */
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
