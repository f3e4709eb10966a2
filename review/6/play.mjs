// A machine loses power while it stores a batch job; the client sends the job again at another machine.
import path from 'node:path'
import { call, newId, pause, runCase, startDeployment } from '../lib-2/harness.mjs'
import { eventText } from '../lib-2/replica.mjs'

const ITEMS = 10
const ITEM_BYTES = 300_000
const EVENTS = 20
const DARK_MS = 1000
/** The client waits for an answer for this long before it tries another machine; its deadline is 4 s. */
const RESEND_AFTER_MS = 2600
const LATEST_RESEND_MS = 3400
const DEADLINE_MS = 4000
const SETTLE_MS = 1000
/** More than `finish_s` after the acknowledgement, with nothing else to do. */
const FINISH_MS = 30_000

const settings = {
  hasTrouble: process.env.TROUBLE !== '0',
  recordFile: path.join(import.meta.dirname, 'record.txt')
}

await runCase(settings, async (ctx) => {
  const { hasTrouble, record, onEnd } = ctx
  const job = newId()
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: newId(),
    path: `/notes/${index}`,
    headers: { Model: 'm', 'Token-Usage': '350,247', 'Prompt-Prefix': `ab${index}:100,cd${index}:250` },
    body: Buffer.alloc(ITEM_BYTES, index + 1).toString('base64'),
    token_count: 597
  }))
  let onRecord = () => undefined
  const { store, replicas, instances } = await startDeployment(ctx, {
    hasStoreLinks: true,
    replicas: [{ events: EVENTS }, { events: EVENTS }, { events: EVENTS }],
    storeOptions: { onChange: (kind, name) => { if (kind === 'jobs' && name === job) onRecord() } }
  })
  const [first, second, third] = instances
  let restarted = Promise.resolve()
  onRecord = () => {
    onRecord = () => undefined
    record(`the store has the record of job ${job}`)
    if (!hasTrouble) return
    first.storeLink.lose()
    first.signal('SIGKILL')
    record(`${first.name} has lost power`)
    restarted = first.whenEnded().then(async () => {
      await pause(DARK_MS)
      first.storeLink.restore()
      await first.start()
    })
  }
  const body = JSON.stringify({ items })
  record(`job ${job} with ${ITEMS} items, ${body.length} bytes`)
  const submit = async (instance, deadlineMs) => {
    const answer = await call(instance, '/notes/job', {
      id: job, body, deadlineMs, headers: { 'Content-Type': 'application/json' }
    })
    record(`POST at ${instance.name}: ${answer.status} ${answer.error ?? ''} after ${answer.ms} ms`)
    return answer
  }
  const sentAt = Date.now()
  let accepted = await submit(first, DEADLINE_MS)
  if (accepted.status !== 202) {
    await pause(sentAt + RESEND_AFTER_MS - Date.now())
    // The machine may take longer to be back; the client has to resend within its deadline.
    await Promise.race([restarted.then(() => first.whenReady()), pause(sentAt + LATEST_RESEND_MS - Date.now())])
    accepted = await submit(second, sentAt + DEADLINE_MS - Date.now())
  }
  await restarted
  if (accepted.status !== 202) {
    record('the job was not accepted')
    return []
  }
  const acceptedAt = Date.now()
  record(`stored inputs: ${store.names('job-inputs').filter((name) => name.startsWith(job)).length}`)
  await pause(SETTLE_MS + 500)
  const breaches = []
  for (const instance of [second, third]) {
    for (const { id } of items.slice(0, 3)) {
      const answer = await call(instance, `/pimentoplank/items/${job}?id=${id}`, { method: 'GET' })
      record(`GET body of ${id} at ${instance.name}: ${answer.status}, ${answer.body.length} characters`)
      if (answer.status === 404 || answer.status === 410) {
        breaches.push(`LOST: ${instance.name} answers ${answer.status} for the body of item ${id}, which no replica has ` +
          `finished, ${Date.now() - acceptedAt} ms after the 202`)
      }
    }
  }
  const listed = new Map()
  while (Date.now() - acceptedAt < FINISH_MS && listed.size < ITEMS) {
    const answer = await call(second, `/pimentoplank/lots/${job}?after=0`, { method: 'GET', headers: { 'Wait-Time': '1000' } })
    if (answer.status === 200) for (const result of JSON.parse(answer.body).results) listed.set(result.id, result)
    else record(`GET results at ${second.name}: ${answer.status}`)
    await pause(500)
  }
  record(`${listed.size} of ${ITEMS} items are listed ${Date.now() - acceptedAt} ms after the 202`)
  for (const { id } of items) {
    const runs = replicas.flatMap((replica) => replica.runs.filter(({ attempt }) => attempt === id))
    record(`item ${id}: ${runs.length} runs (${runs.map(({ outcome }) => outcome)}), ${listed.get(id)?.state ?? 'not listed'}`)
    if (!listed.has(id)) breaches.push(`LOST: item ${id} is not listed, and no replica has it`)
  }
  for (const { id, state, text } of listed.values()) {
    const whole = Array.from({ length: EVENTS }, (_, index) => eventText(id, index + 1)).join('\n')
    if (state !== 'completed' || text !== whole) breaches.push(`MIXED: item ${id} is ${state} with another text`)
  }
  onEnd(() => undefined)
  return breaches
})
