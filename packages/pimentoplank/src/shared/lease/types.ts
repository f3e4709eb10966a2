/** Leases on names in the platform, and the detection of their expiry by others. */
import type { ResultAsync } from 'neverthrow'
import type { PlatformError } from '../platform'

export interface Lease {
  /** Returns the epoch, which increases with each acquisition and serves as fencing token. */
  epoch: () => number
  /** True while this holder may act: its last renewal is recent enough on its own monotonic clock. */
  isHeld: () => boolean
  /** Aborts when the lease is lost to another holder or released. */
  lost: AbortSignal
  /** Releases the lease, so that the next holder need not wait for it to expire. */
  release: () => Promise<void>
}

export interface LeaseOptions {
  /** Name of the lease object. */
  name: string
  /** Unique id of this holder's process, not only of its instance. */
  holder: string
  /** Time without a renewal after which observers consider the lease expired, in milliseconds. */
  lengthMs: number
  /** Renewal interval, in milliseconds. */
  renewEveryMs: number
}

/** Acquires a lease that is free or has expired. Resolves with null when another holder has it. */
export type TryAcquire = (options: LeaseOptions) => ResultAsync<Lease | null, PlatformError>

/** Detects expired leases: their revision has not changed for the lease length on the observer's clock. */
export interface LeaseObserver {
  /** Records the revision of a lease as read from the platform; null when the object does not exist. */
  observe: (name: string, revision: number | null) => void
  /** True when the observations of a lease prove that it has expired. */
  hasExpired: (name: string, lengthMs: number) => boolean
}
