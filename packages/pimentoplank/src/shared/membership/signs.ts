/** Signs that a member is leaving, ahead of the platform's list. */
import type { Clock } from '../clock'
import { MINUTE_MS, SECOND_MS } from '../constants'
import type { InstanceRecord } from '../platform'

/** A sign that nothing confirms is dropped after this time. */
export const SIGN_TTL_MS = 5 * MINUTE_MS
/** A sign that was seen again is renewed when it gains at least this much time. */
const RENEW_STEP_MS = 30 * SECOND_MS
/** A list must show a member gone for this long before its return counts as a newer entry. */
const GONE_SETTLE_MS = 5 * SECOND_MS

export interface Sign {
  id: string
  leaving: boolean
  /** Grows with each process that runs under an instance id; 0 for a target. */
  incarnation: number
  /** Address of the entry that the sign is about; empty when unknown. */
  address: string
  ttlMs: number
}

export interface SignTable {
  /** Takes a sign in; returns true when it changes what is known. */
  add: (sign: Sign) => boolean
  /** True when a member must get no new work although the list shows it live. */
  isLeaving: (record: InstanceRecord) => boolean
  /** Compares the signs with a new list, and drops those that a newer entry outdates. */
  compare: (records: readonly InstanceRecord[]) => void
  list: () => Sign[]
}

interface KnownSign extends Omit<Sign, 'ttlMs'> {
  expiresAt: number
  /** When the list first showed the member gone or leaving, on the local clock. */
  goneSince?: number
}

/** Creates an empty table. */
export function createSignTable (clock: Clock): SignTable {
  const signs = new Map<string, KnownSign>()

  function isNewer (sign: Sign): boolean {
    const known = signs.get(sign.id)
    if (known === undefined) return true
    if (sign.incarnation !== known.incarnation) return sign.incarnation > known.incarnation
    if (sign.leaving !== known.leaving) return sign.leaving
    if (sign.ttlMs > known.expiresAt - clock.now() + RENEW_STEP_MS) return true
    return sign.address !== known.address && sign.address !== ''
  }

  function dropExpired (): void {
    for (const [id, sign] of signs) {
      if (sign.expiresAt <= clock.now()) signs.delete(id)
    }
  }

  function isOutdated (sign: KnownSign, record: InstanceRecord): boolean {
    if (sign.incarnation > 0) return false
    if (sign.address !== '' && sign.address !== record.address) return true
    return sign.goneSince !== undefined && clock.now() - sign.goneSince >= GONE_SETTLE_MS
  }

  return {
    add: (sign) => {
      dropExpired()
      // One near its end could be passed round past it, longer by the time that each message takes.
      if (sign.ttlMs < RENEW_STEP_MS || !isNewer(sign)) return false
      const { ttlMs, ...rest } = sign
      signs.set(sign.id, { ...rest, expiresAt: clock.now() + Math.min(ttlMs, SIGN_TTL_MS) })
      return true
    },
    isLeaving: (record) => {
      const sign = signs.get(record.id)
      if (sign === undefined || !sign.leaving || sign.expiresAt <= clock.now()) return false
      return sign.address === '' || sign.address === record.address
    },
    compare: (records) => {
      dropExpired()
      const live = new Map(records.filter((record) => record.state === 'live').map((record) => [record.id, record]))
      for (const [id, sign] of signs) {
        const record = live.get(id)
        if (record === undefined) sign.goneSince ??= clock.now()
        else if (isOutdated(sign, record)) signs.delete(id)
        else sign.goneSince = undefined
      }
    },
    list: () => {
      dropExpired()
      return [...signs.values()].map(({ id, leaving, incarnation, address, expiresAt }) => (
        { id, leaving, incarnation, address, ttlMs: Math.round(expiresAt - clock.now()) }
      ))
    }
  }
}
