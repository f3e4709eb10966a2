/** The store turns the machine that works on a long job away for some seconds, while items of it finish. */
import { countEvents, wholeText } from '../lib/replicas.mjs'
import { CannotRun, makeJob, sleep, submit } from '../lib/fleet.mjs'
import { isTroubled, runCase } from '../lib/main.mjs'
import { findLost, followJob } from '../lib/reader.mjs'

const ITEMS = 200
/** Tokens of an output: 247 events, the mean of the sheet. */
const OUTPUT_TOKENS = 1235
/** Size of an event's data, the mean of the sheet. */
const EVENT_BYTES = 55
const EVENT_MS = 20
/** Items differ in length of time by up to this share, so that they don't all finish together. */
const SPREAD = 0.25
const BEFORE_MS = 5500
/** Longest time for which the site file lets the store turn some machines away. */
const AWAY_MS = 9000
const FINISH_MS = 18_000
const LAST_MS = 75_000

/** Pause between two events of an item, always the same for an item. */
function getEventMs (id) {
  return EVENT_MS * (1 + SPREAD * (Number(id.slice(-4)) * 7 % 10) / 10)
}

await runCase(import.meta.url, { eventBytes: EVENT_BYTES, eventMs: getEventMs }, async (fleet) => {
  const { fronts, note } = fleet
  const store = fleet.getStore()
  await sleep(2000)
  const job = makeJob('b663d13fc3791254', ITEMS, OUTPUT_TOKENS)
  const { status } = await submit(fronts[0], job)
  note(`${job.id} submitted at ${fronts[0].name}: ${status}`)
  if (status !== 202) throw new CannotRun('the job was not accepted')
  const submittedAt = Date.now()
  const following = followJob(fleet, job, () => fronts, submittedAt + LAST_MS)
  await sleep(BEFORE_MS)
  if (isTroubled) {
    note(`the store turns ${fronts[0].name} away`)
    store.turnAway((req) => req.headers['user-agent']?.endsWith(`/${fronts[0].name}`) ? 'busy' : undefined)
    await sleep(AWAY_MS)
    store.turnAway(() => undefined)
    note(`the store serves ${fronts[0].name} again`)
  }
  await following
  await sleep(Math.max(0, submittedAt + FINISH_MS - Date.now()))
  for (const { kind, name, bytes } of store.rejected.slice(-3)) note(`the store refused ${kind}/${name}: ${bytes} bytes`)
  note(`objects refused for their size: ${store.rejected.length}; reads by status: ${JSON.stringify([...job.statuses])}`)
  const done = new Set(fleet.getReplicas().runs.filter(({ outcome }) => outcome === 'done').map(({ id }) => id))
  note(`items finished by replicas: ${done.size}, listed: ${job.results.length}`)
  const spoiled = job.results.filter(({ id, state, text }) => (
    state !== 'completed' || text !== wholeText(id, countEvents(`350,${OUTPUT_TOKENS}`), EVENT_BYTES)
  ))
  const { lost, isExcused } = findLost(fleet, [job])
  if (isExcused) note(`${lost.length} items are not listed, but excused`)
  return [
    ...spoiled.map(({ id, state }) => `MIXED: item ${id} is ${state} without its whole output`),
    ...(isExcused ? [] : lost).map(({ item }) => `LOST: item ${item} of the accepted job ${job.id} is not listed`)
  ]
})
