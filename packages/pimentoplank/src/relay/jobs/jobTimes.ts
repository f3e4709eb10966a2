/** Computes when a job is due and when its items expire. */
import type { Clock } from '../../shared'
import type { RouteTable } from '../routing'
import type { JobRecord } from './records'

/** Times on the monotonic clock, in milliseconds. */
export interface JobTimes {
  /** When results are due. */
  dueAt: number
  /** When items without a result expire; infinite while the route is not known. */
  expiresAt: number
}

export interface JobTimesOptions {
  record: JobRecord
  table: () => RouteTable | undefined
  clock: Clock
}

/**
 * Returns a function that computes the times of a job once its route is known; a job may be taken over while its route
 * is dropped.
 */
export function createJobTimes ({ record, table, clock }: JobTimesOptions): () => JobTimes {
  const openedAt = clock.now()
  const ageMs = Math.max(0, clock.wallTime() - record.submittedAt)
  let times: JobTimes | undefined
  return () => {
    const rules = table()?.findRouteByName(record.route)?.batch
    if (times === undefined && rules !== undefined) {
      times = {
        dueAt: openedAt + Math.max(0, rules.completionTargetMs - ageMs),
        // The wall clocks of instances differ, and no item may expire early.
        expiresAt: openedAt + rules.retentionMs
      }
    }
    return times ?? { dueAt: openedAt, expiresAt: Infinity }
  }
}
