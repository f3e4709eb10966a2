/** The process that works on a job is killed and starts again; the job is sent once more while it starts. */
import { makeJob, readResults, sleep, submit } from '../lib/fleet.mjs'
import { isTroubled, runCase } from '../lib/main.mjs'
import { followJob } from '../lib/reader.mjs'

const ITEMS = 10
/** Outputs of 150 to 395 events, so that some items are done well before the others. */
const getOutputTokens = (index) => index < 4 ? 750 : 1975
const READ_BEFORE = 3
const DOWN_MS = 400
const CONTACT_MS = 3000
const READS = 12
const READ_GAP_MS = 150

await runCase(import.meta.url, {}, async (fleet) => {
  const { fronts, note } = fleet
  const owner = fronts[1]
  await sleep(2000)
  const job = makeJob('052b0f4c9e328b91', ITEMS, getOutputTokens)
  const first = await submit(owner, job)
  note(`${job.id} submitted at ${owner.name}: ${first.status}`)
  if (first.status !== 202) return []
  owner.startedAt = Date.now()
  const reader = { ...job, items: job.items.slice(0, READ_BEFORE) }
  await followJob(fleet, reader, () => fronts, Date.now() + 12_000)
  const known = reader.results
  note(`${known.length} positions were read`)
  if (known.length < READ_BEFORE) return []
  if (isTroubled) {
    fleet.kill(owner)
    await sleep(DOWN_MS)
    fleet.restart(owner)
  }
  await resend(fleet, owner, job)
  await sleep(Math.max(0, owner.startedAt + CONTACT_MS + 100 - Date.now()))
  const broken = []
  for (let read = 0; read < READS; read++) {
    const after = read % known.length
    const sentMs = Date.now() - owner.startedAt
    const { status, page } = await readResults(owner, job, after, 0)
    note(`${owner.name} read from position ${after} ${sentMs} ms after its start: ${status}, ${page?.results.length} results`)
    if (status === 404 || status === 410) broken.push(`LOST: ${owner.name} answers ${status} for ${job.id}`)
    if (status === 200 && page.results.length === 0) {
      broken.push(`LOST: ${owner.name} has nothing at position ${after} of ${job.id}, which was read before`)
    } else if (status === 200 && page.results[0].id !== known[after].id) {
      broken.push(`TWICE: ${owner.name} has another result at position ${after} of ${job.id}`)
    }
    await sleep(READ_GAP_MS)
  }
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
