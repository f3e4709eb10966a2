/** A job is refused for the quota after an answer of the store was lost; later its machine is restarted as planned. */
import { makeJob, sleep, submit, usualConfig } from '../lib/fleet.mjs'
import { isTroubled, runCase } from '../lib/main.mjs'

const OUTPUT_TOKENS = 1235
/** Each job fits alone, both don't. */
const MAX_COUNT = 200_000
const FIRST_ITEMS = 60
const OTHER_ITEMS = 70
/** The site file's store does lost writes 1 to 6 s late. */
const LATE_MS = 5000
const GRACE_MS = 8000
const DOWN_MS = 500
const WATCH_MS = 15_000

await runCase(import.meta.url, {}, async (fleet) => {
  const { fronts, note } = fleet
  const [first, other, third] = [fronts[1], fronts[3], fronts[6]]
  const store = fleet.getStore()
  const config = usualConfig(3)
  config.routes.at(-1).max_count = MAX_COUNT
  store.write('config', 'main', config)
  await sleep(2500)
  const job = makeJob('0e99a6fa89aaadf5', FIRST_ITEMS, OUTPUT_TOKENS)
  const rival = makeJob('7a4729eaa0461335', OTHER_ITEMS, OUTPUT_TOKENS)
  let hasLost = false
  if (isTroubled) {
    store.loseAnswers(({ method, kind, body }) => {
      if (hasLost || method !== 'POST' || kind !== 'jobs' || body.metadata.name !== job.id) return undefined
      hasLost = true
      note(`the answer to the first write of jobs/${job.id} is lost; it is done ${LATE_MS} ms later`)
      return LATE_MS
    })
  }
  const statuses = []
  // Without the lost answer the rival has to come first for the same refusal.
  if (!isTroubled) note(`${rival.id} submitted at ${other.name}: ${(await submit(other, rival)).status}`)
  const submitting = submit(first, job)
  await sleep(300)
  if (isTroubled) note(`${rival.id} submitted at ${other.name}: ${(await submit(other, rival)).status}`)
  const { status, headers } = await submitting
  statuses.push(status)
  note(`${job.id} submitted at ${first.name}: ${status}, Retry-After ${headers['retry-after']}`)
  await sleep(Math.min(1300, Number(headers['retry-after'] ?? 0) * 1000))
  const again = await submit(third, job, 1500)
  statuses.push(again.status)
  note(`${job.id} submitted again at ${third.name}: ${again.status}`)
  await sleep(LATE_MS)
  const ghost = store.read('jobs', job.id)
  note(`stored record of ${job.id}: ${ghost === undefined ? 'none' : `owner ${ghost.specification.value.owner}`}`)
  note(`${first.name} gets SIGTERM`)
  first.isEnded = true
  first.child.kill('SIGTERM')
  for (let waitedMs = 0; first.isRunning && waitedMs < GRACE_MS; waitedMs += 100) await sleep(100)
  fleet.kill(first)
  await sleep(DOWN_MS)
  fleet.restart(first)
  await sleep(WATCH_MS)
  const items = new Set(job.items.map(({ id }) => id))
  const ran = fleet.getReplicas().runs.filter(({ id }) => items.has(id))
  note(`answers to ${job.id}: ${statuses.join(', ')}; runs of its items: ${ran.length}`)
  const isRefused = statuses.every((one) => [408, 421, 429, 503].includes(one))
  return isRefused ? ran.map(({ id, replica }) => `REFUSED: ${replica} ran item ${id} of the refused job ${job.id}`) : []
})
