// A process is killed while it serves streams of a route that is split between services of different software versions;
// the clients take their streams up at the other machines.
import path from 'node:path'
import { call, newId, pause, runCase, startDeployment } from '../lib-2/harness.mjs'
import { eventText } from '../lib-2/replica.mjs'

const SERVICES = [['alpha', 'v1'], ['beta', 'v2'], ['gamma', 'v3'], ['delta', 'v4']]
const REPLICAS_EACH = 2
/** Streams that begin late are not waited for. */
const MAX_BEGIN_MS = 1500
const STREAMS = 48
const SLOTS = 16
const EVENTS = 40
const EVENT_MS = 50
const DEADLINE_MS = 5000
/** The rule counts from 12 streams on. */
const MIN_STREAMS = 12

const lastEventOf = (body) => {
  const whole = body.slice(0, body.lastIndexOf('\n\n') + 2)
  return Number([...whole.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 0)
}

const hasWholeText = (id, bodies) => {
  const texts = bodies.flatMap((body) => [...body.slice(0, body.lastIndexOf('\n\n') + 2).matchAll(/^data: (.*)$/gm)])
  const wanted = Array.from({ length: EVENTS }, (_, index) => eventText(id, index + 1).split('-')[1])
  return texts.map(([, text]) => text.split('-')[1]).join() === wanted.join()
}

const settings = {
  hasTrouble: process.env.TROUBLE !== '0',
  recordFile: path.join(import.meta.dirname, 'record.txt')
}

await runCase(settings, async (ctx) => {
  const { hasTrouble, record } = ctx
  const { instances, replicas } = await startDeployment(ctx, {
    replicas: SERVICES.flatMap(([service, version]) => Array.from({ length: REPLICAS_EACH }, () => (
      { service, version, slots: SLOTS, events: EVENTS, eventMs: EVENT_MS }
    ))),
    config: (config) => {
      const [ask] = config.routes
      delete ask.service
      ask.traffic_split = SERVICES.map(([service]) => ({ service, weight: 1 }))
      config.services = SERVICES.map(([name]) => ({ name, health_check_path: '/health', max_connections: 360 }))
      config.routes = [ask]
    }
  })
  const [killed, ...others] = instances
  // In touch means undisturbed for 3 s.
  await pause(3500)
  const serviceOf = (attempt) => replicas.filter(({ runs }) => runs.some((run) => run.attempt === attempt))
    .map(({ entry }) => `${entry.service} ${entry.version}`).join('+')

  const started = Array.from({ length: STREAMS }, (_, index) => ({ id: newId(), index }))
  const streams = started.map(async (stream) => {
    const instance = hasTrouble ? killed : instances[stream.index % instances.length]
    stream.first = await call(instance, `/ask/${stream.index}`, { id: stream.id, body: 'question', deadlineMs: DEADLINE_MS })
    return stream
  })
  // By then most of them have delivered events.
  const countRuns = () => replicas.reduce((sum, { runs }) => sum + runs.length, 0)
  for (const until = Date.now() + MAX_BEGIN_MS; countRuns() < STREAMS && Date.now() < until;) await pause(20)
  await pause(1200)
  if (hasTrouble) killed.signal('SIGKILL')
  const takenUp = []
  await Promise.all(streams.map(async (stream) => {
    const { first, id, index } = await stream
    if (first.isWhole || lastEventOf(first.body) === 0) return
    const last = lastEventOf(first.body)
    const attempt = newId()
    const instance = others[index % others.length]
    const second = await call(instance, `/ask/${index}`, {
      id: attempt, body: 'question', deadlineMs: DEADLINE_MS - first.ms, headers: { 'Last-Event-Id': String(last), Resumes: id }
    })
    const goesOn = second.status === 200 && lastEventOf(second.body) > last
    const isWhole = second.isWhole && hasWholeText(id, [first.body, second.body])
    takenUp.push({ goesOn })
    record(`${id} began at ${serviceOf(id)}, broke off after event ${last}, taken up at ${instance.name}: ` +
      `${second.status} ${second.error ?? ''} ${isWhole ? 'whole' : ''} at ${serviceOf(attempt)}`)
  }))
  const whole = started.filter(({ first }) => first.isWhole && hasWholeText('', [first.body])).length
  record(`${whole} of ${STREAMS} streams came whole at the first attempt, ${takenUp.length} were taken up`)
  const fresh = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
    const answer = await call(others[index % others.length], `/ask/n${index}`, { id: newId(), body: 'question' })
    return answer.status === 200 && lastEventOf(answer.body) > 0
  }))
  const newShare = fresh.filter(Boolean).length / fresh.length
  const goesOnShare = takenUp.filter(({ goesOn }) => goesOn).length / takenUp.length
  record(`share of new streams that begin: ${newShare.toFixed(2)}; of those taken up that go on: ${takenUp.length > 0 ? goesOnShare.toFixed(2) : 'none was'}`)
  if (takenUp.length < MIN_STREAMS || goesOnShare >= newShare / 2) return []
  return [`LOST: ${takenUp.length} streams were taken up at machines in touch while two replicas of their version serve; ` +
    `${goesOnShare.toFixed(2)} go on, ${newShare.toFixed(2)} of new ones begin`]
})
