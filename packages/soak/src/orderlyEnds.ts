/** Targets end unframed answers early, in an orderly way and between two events, while their processes live on. */
import { createHash } from 'node:crypto'
import { Agent } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { jobBody, PATHS, readJob, send, waitUntil, type BreakOff, type ReplicaRun, type RunList } from 'pimentoplank-platform/testing'
import { HTTP_OK, readEvents, sendLiveRequest, type Attempt } from './liveRequests'
import { findOrderViolations, type PageRead } from './orderChecks'
import { waitUntilReady } from './runSeed'
import { startSoakFleet, type SoakFleet } from './soakFleet'
import { EVENTS_PER_RESPONSE, findStreamViolations } from './streamChecks'

export interface EndsVariant {
  /** Whether the connection of the answer is closed, or all connections of the target. */
  by: BreakOff['by']
  /** Share of the answers that end early, from 0 to 1. */
  share: number
  runList: RunList
}

export interface EndsOutcome {
  /** Streams that may be resumed. */
  streams: number
  /** Streams and items with a run that ended early; those that may not be resumed are `once`. */
  ended: Record<'resumable' | 'once' | 'items', number>
  /** Answers that ended early, may not be resumed, and look whole. */
  onceLooksWhole: number
  /** Streams that may be resumed, no target ended early, and callers got as incomplete. */
  soundMarked: number
  /** Those of them that came in time, so that a busy machine doesn't explain them. */
  promptMarked: number
  /** Answers that may not be resumed, no target ended early, and callers got to their last event. */
  soundOnce: number
  /** Streams that may not be resumed. */
  onceStreams: number
  /** Streams that may be resumed and that callers got whole, as it seemed to them, in one attempt or several. */
  whole: number
  violations: string[]
}

const FLEET_SIZE = { instances: 5, targets: 8 }
const STREAMS = 80
const STREAM_GAP_MS = 30
/** Every so many streams, one may not be resumed. */
const ONCE_INTERVAL = 3
const JOBS = 3
const ITEMS_PER_JOB = 6
const JOB_TIMEOUT_MS = 15_000
/** Answers take 240 ms, and checks of their ends half a second at most on an idle machine. */
const PROMPT_MS = 1000
const NOTHING_ELSE = { instances: [], directories: [], probes: [], counters: [], configurations: [], storeFaults: [] }
/** Highest value of the hash from which early ends are drawn, plus one. */
const HASH_RANGE = 2 ** 32

/** Plays the variants one after the other on one deployment. */
export async function playOrderlyEnds (
  { variants, seed, ...options }: { variants: readonly EndsVariant[], seed: number, folder: string, run: number }
): Promise<EndsOutcome[]> {
  const fleet = await startSoakFleet({ ...FLEET_SIZE, ...options })
  try {
    await waitUntilReady(fleet)
    const outcomes: EndsOutcome[] = []
    for (const [index, { by, share, runList }] of variants.entries()) {
      const breakOff: BreakOff = { events: (run) => drawEnd(run, seed, share), by }
      for (const { standin } of fleet.targets) Object.assign(standin.faults, { framing: 'connection', runList, breakOff })
      outcomes.push(await playVariant(fleet, `v${index}`))
    }
    return outcomes
  } finally {
    await fleet.close()
  }
}

/** Returns the number of events after which a run ends early; the same for each run of the same part of an answer. */
function drawEnd ({ id, from }: ReplicaRun, seed: number, share: number): number | undefined {
  const hash = createHash('sha256').update(`${seed} ${id} ${from}`).digest()
  const ends = EVENTS_PER_RESPONSE - from - 1
  return ends > 0 && hash.readUInt32LE(0) / HASH_RANGE < share ? 1 + hash.readUInt32LE(4) % ends : undefined
}

async function playVariant (fleet: SoakFleet, name: string): Promise<EndsOutcome> {
  const running = Array.from({ length: JOBS }, async (_, index) => await runJob(fleet, `${name}j${index}`, index))
  const [attempts, jobs] = await Promise.all([sendStreams(fleet, name), Promise.all(running)])
  const runs = fleet.targets.flatMap(({ standin }) => standin.runs)
  const endedIds = new Set(runs.filter(({ isBrokenOff }) => isBrokenOff).map(({ id }) => id))
  const ended = attempts.filter(({ id }) => endedIds.has(id))
  const isSound = ({ id, answer }: Attempt): boolean => answer?.status === HTTP_OK && !endedIds.has(id)
  const resumable = attempts.filter(({ kind }) => kind === 'resumable')
  const marked = resumable.filter((attempt) => isSound(attempt) && !attempt.answer!.isWhole)
  const once = ended.filter(({ kind }) => kind === 'once')
  // One that ended before its head is answered with an error, which is whole.
  const looksWhole = once.filter(({ answer }) =>
    answer?.status === HTTP_OK && answer.isWhole && readEvents(answer.body).length < EVENTS_PER_RESPONSE)
  const soundOnce = attempts.filter((attempt) =>
    attempt.kind === 'once' && isSound(attempt) && readEvents(attempt.answer!.body).length === EVENTS_PER_RESPONSE)
  const results = jobs.flatMap((pages) => pages.at(-1)!.page.results)
  const items = results.filter(({ id }) => endedIds.has(id))
  return {
    streams: new Set(resumable.map(({ request }) => request)).size,
    ended: { resumable: ended.length - once.length, once: once.length, items: items.length },
    onceLooksWhole: looksWhole.length,
    soundMarked: marked.length,
    promptMarked: marked.filter(({ sentAt, endedAt }) => endedAt - sentAt <= PROMPT_MS).length,
    soundOnce: soundOnce.length,
    onceStreams: new Set(attempts.filter(({ kind }) => kind === 'once').map(({ request }) => request)).size,
    whole: resumable.filter(({ answer }) => answer?.status === HTTP_OK && answer.isWhole).length,
    violations: [
      ...findStreamViolations({ targets: fleet.targets, attempts, items: [], storeFaults: [] }),
      ...findOrderViolations({ ...NOTHING_ELSE, pages: jobs.flat() }),
      ...results.filter(({ state }) => state !== 'completed').map(({ id, state }) => `item: ${id} is ${state}`)
    ]
  }
}

async function sendStreams ({ instances }: SoakFleet, name: string): Promise<Attempt[]> {
  const attempts: Attempt[] = []
  const agent = new Agent({ keepAlive: true })
  const sent: Array<Promise<void>> = []
  for (let index = 0; index < STREAMS; index++) {
    let next = index
    sent.push(sendLiveRequest({
      id: `${name}s${index}`,
      kind: index % ONCE_INTERVAL === 0 ? 'once' : 'resumable',
      createPrompt: () => ({}),
      pickInstance: () => instances[next % instances.length],
      pickOther: () => instances[++next % instances.length],
      getAgent: () => agent
    }, (attempt) => attempts.push(attempt)))
    await pause(STREAM_GAP_MS)
  }
  await Promise.all(sent)
  agent.destroy()
  return attempts
}

/** Submits a job and reads it until it has all results; returns the pages as read. */
async function runJob ({ instances }: SoakFleet, job: string, index: number): Promise<PageRead[]> {
  const instance = instances[index % instances.length]!
  await send(instance, `${PATHS.batch}${job}`, { id: job, body: jobBody(job, ITEMS_PER_JOB) })
  const pages: PageRead[] = []
  await waitUntil(async () => {
    const read = { job, items: ITEMS_PER_JOB, instance, after: 0, sentAt: Date.now() }
    const { status, page } = await readJob(instance, job)
    if (status === HTTP_OK) pages.push({ ...read, page, endedAt: Date.now() })
    return page.results.length === ITEMS_PER_JOB
  }, `${job} has all results`, JOB_TIMEOUT_MS)
  return pages
}
