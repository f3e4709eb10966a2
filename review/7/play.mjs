// Jobs of one service wait, as its only replica is lost. Jobs of another service, whose replicas are idle, don't run.
import path from 'node:path'
import { call, newId, pause, runCase, startDeployment } from '../lib-2/harness.mjs'

const JOBS = 6
const ITEMS = 10
const SLOTS = 8
/** An item of the first service takes 1 s, one of the second 5 s. */
const [EVENTS, EVENT_MS] = [20, 50]
const [LONG_EVENTS, LONG_EVENT_MS] = [100, 50]
/** A replica's entry is removed after three heartbeats of silence. */
const LAPSE_MS = 3600
/** Live requests are sent until then, from the acknowledgement of the last job on. */
const TRAFFIC_MS = 17_000
/** `finish_s`, which begins when the traffic has ended. */
const FINISH_MS = 18_000
/** The rule looks at these times before its end. */
const CALM_MS = 5000
const FINISHED_MS = 3000

const settings = {
  hasTrouble: process.env.TROUBLE !== '0',
  recordFile: path.join(import.meta.dirname, 'record.txt')
}

await runCase(settings, async (ctx) => {
  const { hasTrouble, record } = ctx
  const { instances, replicas, store } = await startDeployment(ctx, {
    replicas: [
      { service: 'alpha', slots: SLOTS, events: EVENTS, eventMs: EVENT_MS },
      ...Array.from({ length: 3 }, () => ({
        service: 'beta', slots: SLOTS, eventMs: LONG_EVENT_MS, eventsOf: (url) => url.startsWith('/ask/') ? EVENTS : LONG_EVENTS
      })),
      // With these the lost replica is one of six.
      ...Array.from({ length: 2 }, () => ({ service: 'gamma', slots: SLOTS }))
    ],
    config: (config) => {
      const [ask, , notes] = config.routes
      config.services = ['alpha', 'beta', 'gamma'].map((name) => ({ name, health_check_path: '/health', max_connections: 360 }))
      config.routes = [
        { ...ask, service: 'beta' },
        { ...notes, service: 'alpha' },
        { ...notes, name: 'briefs', path_prefix: '/briefs/', service: 'beta' }
      ]
    }
  })
  const [only] = replicas
  const others = replicas.slice(1, 4)
  const [first, second] = instances
  await pause(3500)
  async function submit (instance, prefix) {
    const id = newId()
    const items = Array.from({ length: ITEMS }, (_, index) => ({
      id: newId(),
      path: `${prefix}${index}`,
      headers: { Model: 'm', 'Token-Usage': '350,247', 'Prompt-Prefix': `ab${index}:100,cd${index}:250` },
      body: Buffer.alloc(15_000, index + 1).toString('base64'),
      token_count: 597
    }))
    const answer = await call(instance, `${prefix}job`, { id, body: JSON.stringify({ items }), deadlineMs: 4000 })
    record(`POST of a job for ${prefix} at ${instance.name}: ${answer.status}`)
    return answer.status === 202 ? { id, items: items.map((item) => item.id) } : undefined
  }
  for (let index = 0; index < JOBS; index++) await submit(first, '/notes/')
  if (hasTrouble) {
    only.crash()
    record(`${only.id}, the only replica of alpha, is lost`)
    setTimeout(() => store.remove('servers', only.id), LAPSE_MS)
  }
  await pause(1000)
  const jobs = []
  for (let index = 0; index < JOBS; index++) jobs.push(await submit(second, '/briefs/'))
  if (jobs.includes(undefined)) return []
  let served = 0
  let asked = 0
  for (const until = Date.now() + TRAFFIC_MS; Date.now() < until; await pause(500)) {
    const answer = await call(instances[asked % instances.length], '/ask/x', { id: newId(), body: 'question' })
    asked += 1
    if (answer.status === 200 && answer.isWhole) served += 1
  }
  record(`${served} of ${asked} live requests to beta were served`)
  await pause(FINISH_MS)
  const now = Date.now()
  const unlisted = []
  for (const { id, items } of jobs) {
    const answer = await call(second, `/pimentoplank/lots/${id}?after=0`, { method: 'GET' })
    const listed = answer.status === 200 ? JSON.parse(answer.body).results.map((result) => result.id) : []
    unlisted.push(...items.filter((item) => !listed.includes(item)))
  }
  const runs = replicas.flatMap((replica) => replica.runs)
  const isAfter = (run, ms) => run.outcome === 'running' || (run.endedAt ?? 0) > now - ms
  const busy = runs.filter((run) => unlisted.includes(run.attempt) && isAfter(run, CALM_MS)).length
  const finished = runs.filter((run) => run.outcome === 'done' && run.endedAt > now - FINISHED_MS).length
  const running = others.flatMap((replica) => replica.runs).filter(({ outcome }) => outcome === 'running').length
  const started = others.flatMap((replica) => replica.runs).filter(({ path }) => path.startsWith('/briefs/')).map(({ at }) => now - at)
  record(`items of beta began ${[...new Set(started.map((ms) => Math.round(ms / 1000)))].join(', ')} s before finish_s was over`)
  record(`${unlisted.length} of ${JOBS * ITEMS} items for beta are not listed; ${busy} of them were at a replica in the last 5 s, ` +
    `${finished} items were finished in the last 3 s, ${running} of ${others.length * SLOTS} slots of beta are taken`)
  const isExcused = busy > 0 || finished > 0 || running >= others.length * SLOTS / 2
  if (unlisted.length === 0 || isExcused) return []
  return [`LOST: ${unlisted.length} items of open jobs are not listed when finish_s is over, though the replicas of their service are idle`]
})
