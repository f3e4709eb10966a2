/** A lease on a name in the platform, and how others see that it has lapsed. */
import type { ResultAsync } from 'neverthrow'
import type { PlatformError } from '../platform'

export interface Lease {
  /** Grows each time the lease changes hands; serves as fencing number. */
  epoch: () => number
  /** True while this holder may act: it renewed the lease less than its length ago, on its own monotonic clock. */
  isHeld: () => boolean
  /** Aborts when the lease is lost to another holder or given up. */
  lost: AbortSignal
  /** Gives the lease up, so that the next holder need not wait for it to lapse. */
  release: () => Promise<void>
}

export interface LeaseOptions {
  /** Name of the lease object. */
  name: string
  /** Unique id of this holder's process, not only of its instance. */
  holder: string
  /** Time without a renewal after which observers take it as lapsed, in milliseconds. */
  lengthMs: number
  renewEveryMs: number
}

/** Takes a lease that is free or has lapsed. Resolves with null when another holder has it. */
export type TryAcquire = (options: LeaseOptions) => ResultAsync<Lease | null, PlatformError>

/** Tells which leases have lapsed: their revision has not moved for their length on this observer's clock. */
export interface LeaseObserver {
  /** Notes the revision of a lease as read from the platform; null when the object is gone. */
  observe: (name: string, revision: number | null) => void
  hasLapsed: (name: string, lengthMs: number) => boolean
}
