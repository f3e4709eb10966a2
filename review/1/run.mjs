/** Two front machines of one zone are lost for good, one shortly after the other; then jobs of the first are read. */
import { CannotRun, makeJob, sleep, submit } from '../lib/fleet.mjs'
import { isTroubled, runCase } from '../lib/main.mjs'
import { findLost, followJob } from '../lib/reader.mjs'

const JOBS = 4
const ITEMS = 10
/** Tokens of an output: about 247 events. */
const OUTPUT_TOKENS = 1235
const BEFORE_LOSS_MS = 1500
const BETWEEN_LOSSES_MS = 800
/** finish_s, after which each item of an open job has to be listed; counted from the second loss. */
const FINISH_MS = 18_000
const EXTRA_MS = 20_000

await runCase(import.meta.url, {}, async (fleet) => {
  const { fronts, note } = fleet
  const zone = fronts.filter((front) => front.zone === 'emilia-c')
  const others = fronts.filter((front) => front.zone !== 'emilia-c')
  await sleep(2000)
  const jobs = Array.from({ length: JOBS }, (_, index) => makeJob(`7c41e09b52d6a3f${index}`, ITEMS, OUTPUT_TOKENS))
  for (const [index, job] of jobs.entries()) {
    const front = index < JOBS - 1 ? zone[0] : others[0]
    const { status } = await submit(front, job)
    note(`${job.id} submitted at ${front.name}: ${status}`)
    job.isAccepted = status === 202
  }
  const accepted = jobs.filter(({ isAccepted }) => isAccepted)
  if (accepted.length < JOBS) throw new CannotRun('not all jobs were accepted')
  await sleep(BEFORE_LOSS_MS)
  if (isTroubled) {
    fleet.kill(zone[0])
    await sleep(BETWEEN_LOSSES_MS)
    fleet.kill(zone[1])
  }
  const until = Date.now() + FINISH_MS + EXTRA_MS
  const getFronts = () => isTroubled ? others : fronts
  await Promise.all(accepted.map(async (job) => await followJob(fleet, job, getFronts, until)))
  const { lost, isExcused } = findLost(fleet, accepted)
  for (const { metadata, specification } of fleet.getStore().list('jobs')) {
    const { owner, epoch, finished } = specification.value
    note(`stored record of ${metadata.name}: owner ${owner}, epoch ${epoch}, finished ${finished}`)
  }
  for (const { id, statuses } of accepted) note(`reads of ${id} by status: ${JSON.stringify([...statuses])}`)
  if (isExcused) note(`${lost.length} items are not listed, but excused`)
  return isExcused ? [] : lost.map(({ job, item }) => `LOST: item ${item} of the accepted job ${job} is not listed`)
})
