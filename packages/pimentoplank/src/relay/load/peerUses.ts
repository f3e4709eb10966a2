/** Sums the load that peers report of each target. Updated with each report, so that reads need not visit all peers. */
import type { DomainUses, PeerView, Report, TargetUse } from '../gossip'

export interface PeerUses {
  /** Replaces the previous report of a peer; undefined for a peer without a report before or from now on. */
  replaceReport: (before: Report | undefined, after: Report | undefined) => void
  /** Replaces the previous digest of a failure domain. */
  replaceDigest: (digest: DomainUses) => void
  /** Drops the digests of failure domains for which the predicate is false. */
  retainDigests: (isRetained: (failureDomain: string) => boolean) => void
  /** Returns the requests of all peers at a target. */
  getUse: (key: number) => TargetUse
  /** True while the latest report of some peer lists the target as suspect. */
  isSuspect: (key: number) => boolean
  /** Calls the listener when a peer begins to suspect a target. */
  onSuspect: (listener: (key: number) => void) => void
}

const EMPTY_USES: DomainUses['uses'] = new Map()
const NO_USE: TargetUse = { live: 0, batch: 0 }

/** Creates the aggregate, starting from the current reports of the peers. */
export function createPeerUses (initial: readonly PeerView[]): PeerUses {
  const uses = new Map<number, TargetUse>()
  const suspects = new Map<number, number>()
  const listeners: Array<(key: number) => void> = []

  const digests = new Map<string, DomainUses>()

  function addUses (added: Report['uses'], sign: 1 | -1): void {
    for (const [key, { live, batch }] of added) {
      const sum = uses.get(key) ?? NO_USE
      const next = { live: sum.live + sign * live, batch: sum.batch + sign * batch }
      if (next.live === 0 && next.batch === 0) uses.delete(key)
      else uses.set(key, next)
    }
  }

  function addSuspects (report: Report, sign: 1 | -1): void {
    for (const key of report.suspects) {
      const count = (suspects.get(key) ?? 0) + sign
      if (count === 0) suspects.delete(key)
      else suspects.set(key, count)
    }
  }

  function replace (before: Report | undefined, after: Report | undefined): void {
    if (before !== undefined) {
      addUses(before.uses, -1)
      addSuspects(before, -1)
    }
    if (after === undefined) return
    addUses(after.uses, 1)
    addSuspects(after, 1)
    for (const key of after.suspects) {
      if (before?.suspects.has(key) !== true) listeners.forEach((listener) => listener(key))
    }
  }

  for (const { report } of initial) replace(undefined, report)

  return {
    replaceReport: replace,
    replaceDigest: (digest) => {
      addUses(digests.get(digest.failureDomain)?.uses ?? EMPTY_USES, -1)
      digests.set(digest.failureDomain, digest)
      addUses(digest.uses, 1)
    },
    retainDigests: (isRetained) => {
      for (const [failureDomain, { uses: old }] of digests) {
        if (isRetained(failureDomain)) continue
        addUses(old, -1)
        digests.delete(failureDomain)
      }
    },
    getUse: (key) => uses.get(key) ?? NO_USE,
    isSuspect: (key) => suspects.has(key),
    onSuspect: (listener) => { listeners.push(listener) }
  }
}
