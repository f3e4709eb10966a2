/** A client that reads the results of a job about twice a second, each time at another machine. */
import { readResults, sleep } from './fleet.mjs'

const READ_GAP_MS = 500

/** Reads until all results are listed, or `until`; results by position are kept in `job.results`. */
export async function followJob (fleet, job, getFronts, until) {
  job.results = []
  job.statuses = new Map()
  for (let turn = 0; Date.now() < until && job.results.length < job.items.length; turn++) {
    const fronts = getFronts()
    const front = fronts[(turn + job.items.length) % fronts.length]
    const { status, page } = await readResults(front, job, job.results.length)
    job.statuses.set(status, (job.statuses.get(status) ?? 0) + 1)
    for (const result of page?.results ?? []) {
      job.results.push(result)
      fleet.note(`${front.name} lists ${job.id} position ${job.results.length - 1}: ${result.id} ${result.state} ${result.text.length} characters`)
    }
    await sleep(READ_GAP_MS)
  }
}

/**
 * The rule's check of an open job at its end: items that are not listed, though the replicas had none of them and were
 * under half full for 5 s, and finished no item for 3 s.
 */
export function findLost (fleet, jobs) {
  const { runs, countRunning, countSlots } = fleet.getReplicas()
  const now = Date.now()
  const lost = jobs.flatMap((job) => {
    const listed = new Set(job.results.map(({ id }) => id))
    return job.items.filter(({ id }) => !listed.has(id)).map(({ id }) => ({ job: job.id, item: id }))
  })
  const open = new Set(lost.map(({ item }) => item))
  const isHad = runs.some((run) => open.has(run.id) && (run.endedAt ?? now) > now - 5000)
  const isFinishing = runs.some(({ outcome, endedAt }) => outcome === 'done' && endedAt > now - 3000)
  const isBusy = countRunning() * 2 >= countSlots()
  return { lost, isExcused: isHad || isFinishing || isBusy }
}
