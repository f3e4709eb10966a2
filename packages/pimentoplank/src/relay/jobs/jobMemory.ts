/** Bounds what an owner keeps of its jobs in memory, as the platform has it, too. */
import type { Log } from '../../shared'
import type { JobRegistry } from './jobRegistry'
import type { OwnedJob } from './ownedJob'

export interface JobMemoryOptions {
  jobRegistry: Pick<JobRegistry, 'owned' | 'get' | 'remove'>
  /** Maximum length of the bodies of items in memory, in characters; further ones are read again as they are used. */
  maxBodyChars?: number
  /** Maximum length of the results of finished jobs in memory, in characters; others are read from the platform. */
  maxResultChars?: number
  log: Log
}

export interface JobMemory {
  /** Drops bodies over the limit, first those of jobs that are done, then those of jobs that are due last. */
  dropExcessBodies: () => void
  /**
   * Removes the jobs that finished first, if there are results over the limit.
   *
   * @param done - ids of jobs that are done, in the order in which they were
   */
  removeExcessResults: (done: Iterable<string>) => void
}

const MAX_BODY_CHARS = 16_000_000
const MAX_RESULT_CHARS = 16_000_000

/** Creates the bounds of an instance. */
export function createJobMemory (options: JobMemoryOptions): JobMemory {
  const { jobRegistry: registry, maxBodyChars = MAX_BODY_CHARS, maxResultChars = MAX_RESULT_CHARS, log } = options

  function isDone (job: OwnedJob): number {
    return Number(job.isComplete() || job.isEnded())
  }

  return {
    dropExcessBodies: () => {
      const jobs = [...registry.owned()].filter((job) => job.countBodyChars() > 0)
      let chars = jobs.reduce((sum, job) => sum + job.countBodyChars(), 0)
      if (chars <= maxBodyChars) return
      for (const job of jobs.sort((a, b) => isDone(b) - isDone(a) || b.dueAt - a.dueAt)) {
        if (chars <= maxBodyChars) return
        chars -= job.countBodyChars()
        job.dropBodies()
        log.info({ job: job.id, chars, limit: maxBodyChars }, 'bodies of a job dropped from memory')
      }
    },
    removeExcessResults: (done) => {
      let chars = 0
      for (const id of [...done].reverse()) {
        const job = registry.get(id)
        chars += job?.countResultChars() ?? 0
        // Until the record tells that it is finished, other instances would take the job for an orphan.
        if (job === undefined || chars <= maxResultChars || !(job.record().finished || job.record().ended)) continue
        chars -= job.countResultChars()
        registry.remove(id)
        log.info({ job: id, limit: maxResultChars }, 'results of a finished job dropped from memory')
      }
    }
  }
}
