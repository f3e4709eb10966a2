/** Callers of one run: they query the directory, reuse connections, retry refused requests and record responses. */
import { Agent } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { askDirectory, endJob, jobBody, PATHS, readJob, send } from 'pimentoplank-platform/testing'
import { DEADLINE_MS, HTTP_OK, KEEP_BYTES, sendLiveRequest, withTimeout, type Attempt, type LiveKind } from './liveRequests'
import type { PageRead } from './orderChecks'
import type { SoakRandom } from './plan'
import type { SoakFleet, SoakInstance } from './soakFleet'

export interface SoakJob {
  id: string
  items: number
  /** Status of each submission; undefined where no response arrived. */
  statuses: Array<number | undefined>
  acceptedAt?: number
  endedAt?: number
  /** Pages as read. */
  pages: PageRead[]
  /** Results as first read, by position; later reads must return the same. */
  firstResults: string[]
  violations: string[]
  isWhole: boolean
}

export interface Callers {
  attempts: Attempt[]
  jobs: SoakJob[]
  /** Stops sending requests; resolves when those in flight have ended. */
  finish: () => Promise<void>
  /** Reads every accepted job repeatedly until it is complete or the timeout in milliseconds has passed. */
  readJobs: (forMs: number) => Promise<void>
  /** Reads every accepted job, ended ones too, from its first result on at every instance. */
  readJobsAgain: () => Promise<void>
}

const LIVE_INTERVAL_MS = 25
/** Number of live requests that callers send at once while they are busy. */
const BUSY_FACTOR = 2
const JOB_INTERVAL_MS = 900
const CRASHING_INTERVAL_MS = 150
const SESSIONS = 20
const READ_INTERVAL_MS = 500
/** Interval of reads from the last position known. */
const READ_LAST_INTERVAL_MS = 400
/** Time for a job to be read at an instance in the end, in milliseconds. */
const READ_AGAIN_MS = 5000
const MAX_SUBMISSIONS = 6
/** Kinds of live requests, by their frequency. */
const LIVE_KINDS: readonly LiveKind[] = ['resumable', 'resumable', 'resumable', 'once', 'plain', 'plainOnce']
/** Share of requests on connections that stay in use after their instance has left the directory. */
const STICKY_SHARE = 0.25
/** Share of streams that their callers leave after a few events, and take up at another instance. */
const LEFT_SHARE = 0.2
const MAX_LEFT_EVENTS = 6
/** Of so many callers who leave, the others do so after their first event, when the stream may just have moved. */
const LEAVING_CALLERS = 12
/** Share of jobs that their callers end early. */
const ENDED_SHARE = 0.15
const MAX_JOB_ITEMS = 12
const HTTP_ACCEPTED = 202

/** Starts the callers. */
export function startCallers (fleet: SoakFleet, random: SoakRandom, run: string): Callers {
  const agents = new Map<string, Agent>()
  const attempts: Attempt[] = []
  const jobs: SoakJob[] = []
  const pending = new Set<Promise<void>>()
  let addresses: string[] = []
  let count = 0
  let isFinished = false

  function track (work: Promise<void>): void {
    const tracked = work.catch(() => undefined).finally(() => pending.delete(tracked))
    pending.add(tracked)
  }

  async function refreshAddresses (): Promise<void> {
    const { ip } = fleet.instances[random.nextInt(fleet.instances.length)]!
    addresses = await withTimeout(askDirectory(ip, 'a'), 1000) ?? addresses
  }

  function pickInstance (except?: SoakInstance): SoakInstance | undefined {
    const known = fleet.instances.filter((one) => one !== except && addresses.includes(one.address))
    return known[random.nextInt(Math.max(1, known.length))]
  }

  /** Some callers keep using their open connections, whatever the directory says, until the process is gone. */
  function pickLiveInstance (): SoakInstance | undefined {
    if (random.nextFloat() >= STICKY_SHARE) return pickInstance()
    const open = fleet.instances.filter(({ address, child }) =>
      agents.has(address) && child.exitCode === null && child.signalCode === null)
    return open[random.nextInt(Math.max(1, open.length))] ?? pickInstance()
  }

  function getAgent ({ address }: SoakInstance): Agent {
    const agent = agents.get(address) ?? new Agent({ keepAlive: true })
    agents.set(address, agent)
    return agent
  }

  function pickLeftEvents (): number {
    const pick = random.nextInt(LEAVING_CALLERS)
    return pick < MAX_LEFT_EVENTS ? 1 + pick : 1
  }

  async function sendRequest (): Promise<void> {
    const kind = LIVE_KINDS[random.nextInt(LIVE_KINDS.length)]!
    const isLeft = kind === 'resumable' && random.nextFloat() < LEFT_SHARE
    await sendLiveRequest({
      id: `${run}r${++count}`,
      kind,
      leavesAfter: isLeft ? pickLeftEvents() : undefined,
      createPrompt,
      pickInstance: pickLiveInstance,
      pickOther: (last) => pickInstance(last) ?? last,
      getAgent
    }, (attempt) => attempts.push(attempt))
  }

  async function submitJob (): Promise<void> {
    const id = `${run}j${++count}`
    const items = 1 + random.nextInt(MAX_JOB_ITEMS)
    const job: SoakJob = { id, items, statuses: [], pages: [], firstResults: [], violations: [], isWhole: false }
    jobs.push(job)
    const shouldEnd = random.nextFloat() < ENDED_SHARE
    for (let attempt = 0; attempt < MAX_SUBMISSIONS && job.acceptedAt === undefined; attempt++) {
      const instance = pickInstance()
      if (instance === undefined) break
      const body = jobBody(id, job.items)
      const answer = await withTimeout(send(instance, `${PATHS.batch}${id}`, { id, body }).catch(() => undefined), 5000)
      job.statuses.push(answer?.status)
      if (answer?.status === HTTP_ACCEPTED) job.acceptedAt = Date.now()
      else await pause(500)
    }
    if (!shouldEnd || job.acceptedAt === undefined) return
    await pause(300)
    for (;;) {
      const instance = pickInstance()
      if (instance === undefined || isFinished) return
      if (await withTimeout(endJob(instance, id), 5000) === HTTP_OK) {
        job.endedAt = Date.now()
        return
      }
      await pause(300)
    }
  }

  /** Reads a page; returns the position after it, undefined if the instance can't tell. */
  async function readResults (job: SoakJob, instance = pickInstance(), after = 0): Promise<number | undefined> {
    if (instance === undefined) return undefined
    const sentAt = Date.now()
    const answer = await withTimeout(readJob(instance, job.id, after).catch(() => undefined), 5000)
    if (answer === undefined || answer.status === 503) return undefined
    const { status, page } = answer
    const read = { job: job.id, items: job.items, instance, after, page, sentAt, endedAt: Date.now() }
    if (status === HTTP_OK) job.pages.push(read)
    else job.violations.push(`${instance.id} responded to a read with status ${status}`)
    page.results.forEach((result, index) => {
      const position = after + index
      const text = JSON.stringify(result)
      job.firstResults[position] ??= text
      if (job.firstResults[position] !== text) job.violations.push(`result at position ${position} changed when read from ${instance.id}`)
    })
    if (after === 0) job.isWhole = page.total > 0 && page.results.length === page.total
    return after + page.results.length
  }

  function pickJob (): SoakJob | undefined {
    const settled = jobs.filter(({ acceptedAt }) => acceptedAt !== undefined && Date.now() - acceptedAt > 1000)
    return settled[random.nextInt(Math.max(1, settled.length))]
  }

  async function readRandomJob (): Promise<void> {
    const job = pickJob()
    if (job !== undefined) await readResults(job)
  }

  async function readLastResult (): Promise<void> {
    const job = pickJob()
    const known = job?.firstResults.length ?? 0
    if (job !== undefined && known > 0) await readResults(job, pickInstance(), known - 1)
  }

  async function readAgain (job: SoakJob, instance: SoakInstance): Promise<void> {
    const until = Date.now() + READ_AGAIN_MS
    let after = 0
    do {
      const next = await readResults(job, instance, after)
      if (next === after) break
      if (next === undefined) await pause(200)
      after = next ?? after
    } while (after < job.firstResults.length && Date.now() < until)
    if (after < job.firstResults.length) job.violations.push(`${instance.id} could not read it after ${after} in the end`)
  }

  /** Prompts of sound requests share parts with those that crash targets. */
  function createPrompt (id: string, crashingPart?: string): Record<string, string> {
    const parts = ['common', crashingPart, `session${random.nextInt(SESSIONS)}`, id].filter((part) => part !== undefined)
    return { 'Prompt-Prefix': parts.map((part) => `${part}:50`).join(',') }
  }

  async function sendCrashingRequest (): Promise<void> {
    const instance = pickInstance()
    if (fleet.crashingPart === undefined || instance === undefined) return
    const id = `${run}x${++count}`
    const sent = send(instance, `${PATHS.resumable}${id}`, {
      id, body: id, deadlineMs: DEADLINE_MS, keepBytes: KEEP_BYTES, headers: createPrompt(id, fleet.crashingPart)
    }).catch(() => undefined)
    await withTimeout(sent, DEADLINE_MS)
  }

  const timers = [
    setInterval(() => track(sendCrashingRequest()), CRASHING_INTERVAL_MS),
    setInterval(() => {
      for (let index = 0; index < (fleet.isBusy ? BUSY_FACTOR : 1); index++) track(sendRequest())
    }, LIVE_INTERVAL_MS),
    setInterval(() => track(submitJob()), JOB_INTERVAL_MS),
    setInterval(() => track(readRandomJob()), READ_INTERVAL_MS),
    setInterval(() => track(readLastResult()), READ_LAST_INTERVAL_MS),
    setInterval(() => { refreshAddresses().catch(() => undefined) }, 1000)
  ]
  refreshAddresses().catch(() => undefined)

  return {
    attempts,
    jobs,
    finish: async () => {
      timers.slice(0, 5).forEach(clearInterval)
      while (pending.size > 0) await Promise.all(pending)
      isFinished = true
    },
    readJobs: async (forMs) => {
      const until = Date.now() + forMs
      const open = (): SoakJob[] => jobs.filter(({ acceptedAt, endedAt, isWhole }) =>
        acceptedAt !== undefined && endedAt === undefined && !isWhole)
      while (open().length > 0 && Date.now() < until) {
        await Promise.all(open().map(async (job) => await readResults(job)))
        await pause(200)
      }
      timers.forEach(clearInterval)
      agents.forEach((agent) => agent.destroy())
    },
    readJobsAgain: async () => {
      const accepted = jobs.filter(({ acceptedAt }) => acceptedAt !== undefined)
      await Promise.all(fleet.instances.map(async (instance) => {
        for (const job of accepted) await readAgain(job, instance)
      }))
    }
  }
}
