// Large batch jobs wait at three machines, within the operator's limits; then one machine is lost for good.
import { call, newId, pause, runCase, startDeployment } from '../lib-2/harness.mjs'

/** Tokens: 72 x 10 x 597 = 430,000 of the 2,000,000 that may wait on the route. */
const JOBS = 72
const ITEMS = 10
/** The site file allows bodies of items up to 570,000 bytes; a whole job stays below `max_body_bytes`. */
const ITEM_BYTES = 300_000
const TOKENS = 597
/** The platform starts a process that has ended by itself again after this time. */
const RESTART_MS = 2000
const WATCH_MS = 45_000
/** The rule: three ends by themselves each, on a tenth of the machines in use, two at least. */
const MIN_ENDS = 3
const MIN_MACHINES = 2

await runCase(import.meta.dirname, async (ctx) => {
  const { hasTrouble, record } = ctx
  const { instances, replicas } = await startDeployment(ctx, {
    replicas: Array.from({ length: 4 }, () => ({ eventMs: 40, eventsOf: (url) => url.startsWith('/ask/') ? 20 : 247 }))
  })
  const [lost, ...others] = instances
  const accepted = []
  for (let index = 0; index < JOBS; index++) {
    const items = Array.from({ length: ITEMS }, (_, item) => ({
      id: newId(),
      path: `/notes/${item}`,
      headers: { Model: 'm', 'Token-Usage': '350,247', 'Prompt-Prefix': `ab${item}:100,cd${item}:250` },
      body: Buffer.alloc(ITEM_BYTES, item + 1).toString('base64'),
      token_count: TOKENS
    }))
    const id = newId()
    // The last job goes to the machine that is lost.
    const instance = instances[(index + 1) % instances.length]
    const answer = await call(instance, '/notes/job', {
      id, body: JSON.stringify({ items }), deadlineMs: 4000, headers: { 'Content-Type': 'application/json' }
    })
    if (answer.status === 202) accepted.push({ id, item: items[0].id })
    else record(`POST at ${instance.name}: ${answer.status} ${answer.error ?? ''}`)
  }
  record(`${accepted.length} jobs of ${ITEMS} items of ${ITEM_BYTES} bytes are accepted`)
  const ends = new Map(others.map(({ name }) => [name, 0]))
  let isWatched = true
  async function keepRunning (instance) {
    for (;;) {
      await instance.whenEnded()
      if (!isWatched) return
      const cause = instance.log.findLast((line) => line.includes('FATAL ERROR')) ?? ''
      record(`${instance.name} has ended by itself: ${cause}`)
      if (ends.has(instance.name)) ends.set(instance.name, ends.get(instance.name) + 1)
      await pause(RESTART_MS)
      if (!isWatched) return
      await instance.start()
    }
  }
  if (hasTrouble) lost.signal('SIGKILL')
  for (const instance of hasTrouble ? others : instances) keepRunning(instance).catch((cause) => record(String(cause)))
  const asked = new Map()
  for (const until = Date.now() + WATCH_MS; Date.now() < until; await pause(500)) {
    const id = newId()
    const instance = others[asked.size % others.length]
    const answer = await call(instance, '/ask/x', { id, body: 'question', deadlineMs: 5000, timeoutMs: 12_000 })
    asked.set(id, answer.status === 200 && answer.isWhole)
  }
  isWatched = false
  const served = [...asked.values()].filter(Boolean).length
  record(`${served} of ${asked.size} live requests to ${others.map(({ name }) => name)} were served`)
  record(`runs at replicas: ${replicas.reduce((sum, { runs }) => sum + runs.length, 0)}`)
  record(`ends by themselves: ${JSON.stringify([...ends])}`)
  const crashing = [...ends].filter(([, count]) => count >= MIN_ENDS)
  if (crashing.length < MIN_MACHINES) return []
  return [`Fault: ${crashing.map(([name, count]) => `${name} ended by itself ${count} times`).join(', ')}, undisturbed`]
})
