/**
 * Takeover of jobs that nobody seems to run: when their records are read again, and how long to wait before one is
 * taken over.
 *
 * Load pattern: several instances are lost one shortly after the other, among them the one that would take over the
 * jobs of another; writes get no answer and are carried out later; instances lose their paths to each other, but not
 * to the platform. An owner that isn't heard may therefore be alive: what it stores shows that. All records are read
 * with one call, and the calls of all instances together stay below a rate whatever their number.
 */

/** Shortest time between two reads of the records without a reason to read earlier, in milliseconds. */
const MIN_INTERVAL_MS = 5000
/** Time between two reads of all instances together in a large deployment, in milliseconds. */
const FLEET_INTERVAL_MS = 500
/** Time over which the reads of all instances after the loss of one are spread, for each instance, in milliseconds. */
const SPREAD_MS_PER_INSTANCE = 20
/** Time without an owner after which a job is taken over, in milliseconds: a planned handover takes less. */
const ABSENCE_MS = 2000
/** The same for an owner that has stored something since it was heard last, in milliseconds. */
const SILENT_ABSENCE_MS = 10_000
/** Pause before the next takeover of a job that could not be taken over, in milliseconds. */
const RETRY_MS = 10_000

/**
 * Computes the time until the next read of the records, in milliseconds.
 *
 * @param instances - number of instances, this one included
 * @param jitter - random number between 0 and 1
 */
export function computeRecordReadMs (instances: number, jitter: number): number {
  return Math.max(MIN_INTERVAL_MS, instances * FLEET_INTERVAL_MS) * (0.75 + jitter / 2)
}

/** Computes the time until the read after an instance was lost, in milliseconds; the parameters are the same. */
export function computeReadAfterLossMs (instances: number, jitter: number): number {
  return instances * SPREAD_MS_PER_INSTANCE * jitter
}

export interface Absence {
  /** When the owner was first found to be absent, on the clock of `now` in milliseconds. */
  since: number
  /** When a change that it has stored since then was first seen; undefined without any. */
  lastChangeAt?: number
  /** When the job was last tried to be taken over; undefined before that. */
  triedAt?: number
}

/** Computes when a job whose owner is absent may be taken over, on the clock of the absence in milliseconds. */
export function computeTakeOverAt ({ since, lastChangeAt, triedAt = -Infinity }: Absence): number {
  const absentAt = lastChangeAt === undefined ? since + ABSENCE_MS : lastChangeAt + SILENT_ABSENCE_MS
  return Math.max(absentAt, triedAt + RETRY_MS)
}
