/** Callers of one run: they ask the directory, keep connections, try again after a promise, and note what they saw. */
import { Agent } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { askDirectory, endJob, jobBody, PATHS, readJob, send, type Answer } from 'pimentoplank-platform/testing'
import type { SoakRandom } from './plan'
import type { SoakFleet, SoakInstance } from './soakFleet'

/** One attempt of a live request. */
export interface Attempt {
  id: string
  kind: 'resumable' | 'once'
  instance: SoakInstance
  sentAt: number
  endedAt: number
  /** Undefined when the connection ended without one. */
  answer?: Answer
}

export interface SoakJob {
  id: string
  items: number
  /** Status of each submission; undefined for one without an answer. */
  statuses: Array<number | undefined>
  acceptedAt?: number
  endedAt?: number
  /** Results as they were first read, by position. */
  seen: string[]
  faults: string[]
  isWhole: boolean
}

export interface Callers {
  attempts: Attempt[]
  jobs: SoakJob[]
  /** Stops new requests; resolves when those in flight are over. */
  finish: () => Promise<void>
  /** Reads every accepted job from its start until it is whole, or a time is over. */
  readJobs: (forMs: number) => Promise<void>
}

const LIVE_GAP_MS = 25
const JOB_GAP_MS = 900
const READ_GAP_MS = 500
const DEADLINE_MS = 4000
const MAX_TRIES = 3
/** Share of jobs that their callers end. */
const ENDED_SHARE = 0.15
const LONGEST_JOB = 12
const HTTP_OK = 200
const HTTP_ACCEPTED = 202
const PROMISES = new Set([408, 421, 429, 503])

/** Starts the callers. */
export function startCallers (fleet: SoakFleet, random: SoakRandom, run: string): Callers {
  const agents = new Map<string, Agent>()
  const attempts: Attempt[] = []
  const jobs: SoakJob[] = []
  const pending = new Set<Promise<void>>()
  let addresses: string[] = []
  let count = 0
  let isOver = false

  function track (work: Promise<void>): void {
    const tracked = work.catch(() => undefined).finally(() => pending.delete(tracked))
    pending.add(tracked)
  }

  async function learnAddresses (): Promise<void> {
    const { ip } = fleet.instances[random.below(fleet.instances.length)]!
    addresses = await within(askDirectory(ip, 'a'), 1000) ?? addresses
  }

  function pickInstance (): SoakInstance | undefined {
    const known = fleet.instances.filter(({ address }) => addresses.includes(address))
    return known[random.below(Math.max(1, known.length))]
  }

  function agentOf ({ address }: SoakInstance): Agent {
    const agent = agents.get(address) ?? new Agent({ keepAlive: true })
    agents.set(address, agent)
    return agent
  }

  async function ask (): Promise<void> {
    const kind = random.next() < 0.8 ? 'resumable' : 'once'
    const request = `${run}r${++count}`
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const instance = pickInstance()
      if (instance === undefined) return
      const id = `${request}a${attempt}`
      const sentAt = Date.now()
      const sent = send(instance, `${PATHS[kind]}${request}`, {
        id, deadlineMs: DEADLINE_MS, agent: attempt === 0 ? agentOf(instance) : undefined
      }).catch(() => undefined)
      const answer = await within(sent, DEADLINE_MS + 1500)
      attempts.push({ id, kind, instance, sentAt, endedAt: Date.now(), answer })
      if (answer === undefined || !PROMISES.has(answer.status)) return
      await pause(Math.min(1000, Number(answer.headers['retry-after'] ?? 0.1) * 1000))
    }
  }

  async function submit (): Promise<void> {
    const id = `${run}j${++count}`
    const items = 1 + random.below(LONGEST_JOB)
    const job: SoakJob = { id, items, statuses: [], seen: [], faults: [], isWhole: false }
    jobs.push(job)
    const isEnded = random.next() < ENDED_SHARE
    for (let attempt = 0; attempt < MAX_TRIES * 2 && job.acceptedAt === undefined; attempt++) {
      const instance = pickInstance()
      if (instance === undefined) break
      const body = jobBody(id, job.items)
      const answer = await within(send(instance, `${PATHS.batch}${id}`, { id, body }).catch(() => undefined), 5000)
      job.statuses.push(answer?.status)
      if (answer?.status === HTTP_ACCEPTED) job.acceptedAt = Date.now()
      else await pause(500)
    }
    if (!isEnded || job.acceptedAt === undefined) return
    await pause(300)
    for (;;) {
      const instance = pickInstance()
      if (instance === undefined || isOver) return
      if (await within(endJob(instance, id), 5000) === HTTP_OK) {
        job.endedAt = Date.now()
        return
      }
      await pause(300)
    }
  }

  async function read (job: SoakJob): Promise<void> {
    const instance = pickInstance()
    if (instance === undefined) return
    const answer = await within(readJob(instance, job.id).catch(() => undefined), 5000)
    if (answer === undefined || answer.status === 503) return
    if (answer.status !== 200) job.faults.push(`${instance.id} answered a read with ${answer.status}`)
    answer.page.results.forEach((result, index) => {
      const text = JSON.stringify(result)
      job.seen[index] ??= text
      if (job.seen[index] !== text) job.faults.push(`position ${index} changed at ${instance.id}`)
    })
    job.isWhole = answer.page.total > 0 && answer.page.results.length === answer.page.total
  }

  async function readSome (): Promise<void> {
    const settled = jobs.filter(({ acceptedAt }) => acceptedAt !== undefined && Date.now() - acceptedAt > 1000)
    const job = settled[random.below(Math.max(1, settled.length))]
    if (job !== undefined) await read(job)
  }

  const timers = [
    setInterval(() => track(ask()), LIVE_GAP_MS),
    setInterval(() => track(submit()), JOB_GAP_MS),
    setInterval(() => track(readSome()), READ_GAP_MS),
    setInterval(() => { learnAddresses().catch(() => undefined) }, 1000)
  ]
  learnAddresses().catch(() => undefined)

  return {
    attempts,
    jobs,
    finish: async () => {
      timers.slice(0, 3).forEach(clearInterval)
      while (pending.size > 0) await Promise.all(pending)
      isOver = true
    },
    readJobs: async (forMs) => {
      const until = Date.now() + forMs
      const open = (): SoakJob[] => jobs.filter(({ acceptedAt, endedAt, isWhole }) =>
        acceptedAt !== undefined && endedAt === undefined && !isWhole)
      while (open().length > 0 && Date.now() < until) {
        await Promise.all(open().map(read))
        await pause(200)
      }
      timers.forEach(clearInterval)
      agents.forEach((agent) => agent.destroy())
    }
  }
}

async function within<Value> (work: Promise<Value>, ms: number): Promise<Value | undefined> {
  return await Promise.race([work.catch(() => undefined), pause(ms).then(() => undefined)])
}
