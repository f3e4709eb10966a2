/** The process that works on a job is killed and starts again; meanwhile the job is sent once more, and then ended. */
import { call, CannotRun, makeJob, readResults, sleep, submit } from '../lib/fleet.mjs'
import { isTroubled, runCase } from '../lib/main.mjs'
import { followJob } from '../lib/reader.mjs'

const ITEMS = 10
/** Outputs of 150 or 395 events, so that some items are done well before the others. */
const getOutputTokens = (index) => index < 4 ? 750 : 1975
const READ_BEFORE = 3
const DOWN_MS = 400
const BEFORE_END_MS = 500
const CONTACT_MS = 3000
const READS = 8
const READ_GAP_MS = 150
/** finish_s, after which results are read from the start at each machine. */
const FINISH_MS = 18_000

await runCase(import.meta.url, {}, async (fleet) => {
  const { fronts, note } = fleet
  const owner = fronts[1]
  await sleep(2000)
  const job = makeJob('052b0f4c9e328b91', ITEMS, getOutputTokens)
  const first = await submit(owner, job)
  note(`${job.id} submitted at ${owner.name}: ${first.status}`)
  if (first.status !== 202) throw new CannotRun('the job was not accepted')
  owner.startedAt = Date.now()
  const reader = { ...job, items: job.items.slice(0, READ_BEFORE) }
  await followJob(fleet, reader, () => fronts, Date.now() + 12_000)
  const known = reader.results
  note(`${known.length} positions were read`)
  if (known.length < READ_BEFORE) throw new CannotRun('no results were listed in time')
  if (isTroubled) {
    fleet.kill(owner)
    await sleep(DOWN_MS)
    fleet.restart(owner)
  }
  await resend(fleet, owner, job)
  await sleep(BEFORE_END_MS)
  const ended = await call(fronts[4], 'DELETE', `/pimentoplank/lots/${job.id}`)
  note(`${job.id} ended at ${fronts[4].name}: ${ended.status}`)
  await sleep(Math.max(0, owner.startedAt + CONTACT_MS + 100 - Date.now()))
  const broken = []
  for (let read = 0; read < READS; read++) {
    broken.push(...await checkRead(fleet, owner, job, known, read % known.length))
    await sleep(READ_GAP_MS)
  }
  await sleep(FINISH_MS)
  for (const front of fronts) broken.push(...await checkRead(fleet, front, job, known, 0))
  return broken
})

/** Sends the job again, as a client that got no answer, once the machine accepts connections. */
async function resend (fleet, front, job) {
  for (;;) {
    const { status, cause } = await submit(front, job)
    if (cause === 'ECONNREFUSED') {
      await sleep(20)
      continue
    }
    fleet.note(`${job.id} sent again at ${front.name}, ${Date.now() - front.startedAt} ms after its start: ${status}`)
    return
  }
}

/** Reads from a position that was read before; returns what is wrong with the answer. */
async function checkRead ({ note }, front, job, known, after) {
  const { status, page } = await readResults(front, job, after, 0)
  note(`${front.name} read from position ${after}: ${status}, ${page?.results.length} results`)
  if (status === 404 || status === 410) return [`LOST: ${front.name} answers ${status} for ${job.id}`]
  if (status !== 200) return []
  const [result] = page.results
  if (result === undefined) {
    return [`LOST: ${front.name} has nothing at position ${after} of ${job.id}, which was read before`]
  }
  const isSame = result.id === known[after].id && result.text === known[after].text
  return isSame ? [] : [`TWICE: ${front.name} has another result at position ${after} of ${job.id}`]
}
