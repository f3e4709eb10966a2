/** Notices of a leaving or restarted member that precede the list of the platform (`MemberSign` messages). */
import type { Clock } from '../clock'
import { MINUTE_MS, SECOND_MS } from '../constants'
import type { InstanceRecord } from '../platform'

/** Lifetime of a notice that is not renewed. */
export const NOTICE_TTL_MS = 5 * MINUTE_MS
/** A received notice renews a known one only if it extends its expiry by more than this. */
const MIN_EXTENSION_MS = 30 * SECOND_MS
/** A member must be missing from the list for this long before its return counts as a newer entry. */
const MIN_MISSING_MS = 5 * SECOND_MS

export interface MemberNotice {
  id: string
  /** False refutes the notices of lower incarnations. */
  leaving: boolean
  /** Increases with each process that runs under an instance id; 0 for a target. */
  incarnation: number
  /** Address of the list entry that the notice refers to; empty when unknown. */
  address: string
  /** Remaining lifetime, in milliseconds. */
  ttlMs: number
}

export interface NoticeTable {
  /** Adds a notice; returns true when it changes the table. */
  add: (notice: MemberNotice) => boolean
  /** True when a member must not receive new work although the list shows it live. */
  isLeaving: (record: InstanceRecord) => boolean
  /** Reconciles the notices with a new list; drops those that a newer entry supersedes. */
  reconcile: (records: readonly InstanceRecord[]) => void
  /** Returns the unexpired notices. */
  list: () => MemberNotice[]
}

interface KnownNotice extends Omit<MemberNotice, 'ttlMs'> {
  expiresAt: number
  /** When the list first showed the member missing or leaving, on the local clock. */
  missingSince?: number
}

/** Creates an empty table. */
export function createNoticeTable (clock: Clock): NoticeTable {
  const notices = new Map<string, KnownNotice>()

  function isNewer (notice: MemberNotice): boolean {
    const known = notices.get(notice.id)
    if (known === undefined) return true
    if (notice.incarnation !== known.incarnation) return notice.incarnation > known.incarnation
    if (notice.leaving !== known.leaving) return notice.leaving
    if (notice.ttlMs > known.expiresAt - clock.now() + MIN_EXTENSION_MS) return true
    return notice.address !== known.address && notice.address !== ''
  }

  function dropExpired (): void {
    for (const [id, notice] of notices) {
      if (notice.expiresAt <= clock.now()) notices.delete(id)
    }
  }

  function isSuperseded (notice: KnownNotice, record: InstanceRecord): boolean {
    if (notice.incarnation > 0) return false
    if (notice.address !== '' && notice.address !== record.address) return true
    return notice.missingSince !== undefined && clock.now() - notice.missingSince >= MIN_MISSING_MS
  }

  return {
    add: (notice) => {
      dropExpired()
      // Each message extends a notice by its latency: close to expiry, peers could keep it alive by exchanging it.
      if (notice.ttlMs < MIN_EXTENSION_MS || !isNewer(notice)) return false
      const { ttlMs, ...rest } = notice
      notices.set(notice.id, { ...rest, expiresAt: clock.now() + Math.min(ttlMs, NOTICE_TTL_MS) })
      return true
    },
    isLeaving: (record) => {
      const notice = notices.get(record.id)
      if (notice === undefined || !notice.leaving || notice.expiresAt <= clock.now()) return false
      return notice.address === '' || notice.address === record.address
    },
    reconcile: (records) => {
      dropExpired()
      const live = new Map(records.filter((record) => record.state === 'live').map((record) => [record.id, record]))
      for (const [id, notice] of notices) {
        const record = live.get(id)
        if (record === undefined) notice.missingSince ??= clock.now()
        else if (isSuperseded(notice, record)) notices.delete(id)
        else notice.missingSince = undefined
      }
    },
    list: () => {
      dropExpired()
      return [...notices.values()].map(({ id, leaving, incarnation, address, expiresAt }) => (
        { id, leaving, incarnation, address, ttlMs: Math.round(expiresAt - clock.now()) }
      ))
    }
  }
}
