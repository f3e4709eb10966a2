/** Compares what callers and targets saw in one run with what is promised. */
import { eventText, type ReplicaRun } from 'pimentoplank-platform/testing'
import type { Attempt, SoakJob } from './callers'
import type { PlayedFault } from './inject'
import type { SoakFleet } from './soakFleet'

export interface Observations {
  fleet: SoakFleet
  attempts: readonly Attempt[]
  jobs: readonly SoakJob[]
  faults: readonly PlayedFault[]
  /** From when on everything is well again, wall clock time in milliseconds. */
  recoveredAt: number
}

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])
const HTTP_OK = 200
/** Bounds of the settings and of the platform's pages, in milliseconds. */
const DRAIN_MS = 2000
const CANCEL_MS = 3000
const CONTACT_MS = 3000
/** Least share of requests that are answered whole once everything is well again. */
const RECOVERED_SHARE = 0.9
/** Faults after which a change at the store need not be known everywhere in time. */
const DELAYING: ReadonlySet<string> = new Set([
  'storeBusy', 'storeSilent', 'storeLosesAnswers', 'storeForgets', 'storeLink', 'kill', 'killMany', 'freeze', 'stop'
])

/** Checks every promise; returns what was broken. */
export function findBroken (seen: Observations): string[] {
  const runs = new Map<string, ReplicaRun[]>()
  for (const run of seen.fleet.targets.flatMap(({ standin }) => standin.runs)) {
    runs.set(run.id, [...runs.get(run.id) ?? [], run])
  }
  return [
    ...seen.fleet.instances.flatMap(({ crashes }) => crashes),
    ...seen.attempts.flatMap((attempt) => checkAttempt(attempt, runs.get(attempt.id) ?? [])),
    ...seen.jobs.flatMap((job) => checkJob(job, runs)),
    ...checkLeft(seen),
    ...checkRecovery(seen)
  ]
}

function ranOf (runs: readonly ReplicaRun[]): ReplicaRun[] {
  return runs.filter(({ ran }) => ran)
}

function checkAttempt (attempt: Attempt, runs: readonly ReplicaRun[]): string[] {
  const { id, kind, answer, instance } = attempt
  const broken: string[] = []
  const ran = ranOf(runs).length
  if (kind === 'once' && ran > 1) broken.push(`once: ${id} ran ${ran} times`)
  if (answer === undefined) {
    const { sentAt, endedAt } = attempt
    const isDisturbed = instance.disturbedAt.some((at) => at >= sentAt - CONTACT_MS && at <= endedAt + 1)
    if (ran > 0 && !isDisturbed) broken.push(`lost: ${id} ran and got no answer from ${instance.id}`)
    return broken
  }
  if (PROMISES.has(answer.status) && ran > 0) broken.push(`not run: ${id} got ${answer.status} and ran`)
  if (answer.status !== HTTP_OK || !answer.isWhole) return broken
  const data = answer.body.split('\n').filter((line) => line.startsWith('data: ')).map((line) => line.slice(6))
  if (!isWholeText(id, data)) broken.push(`whole: ${id} got ${data.length} events: ${data.join(' ')}`)
  if (answer.headers['response-signature'] === undefined) broken.push(`proof: ${id} has none`)
  return broken
}

function isWholeText (id: string, data: readonly string[]): boolean {
  return data.length === EVENTS && data.every((text, index) => text === eventText(id, index + 1))
}

/** Events of each answer of the run's targets. */
const EVENTS = 12

function checkJob (job: SoakJob, runs: ReadonlyMap<string, ReplicaRun[]>): string[] {
  const broken = job.faults.map((fault) => `job ${job.id}: ${fault}`)
  const itemIds = Array.from({ length: job.items }, (_, index) => `${job.id}i${index}`)
  const itemRuns = itemIds.flatMap((id) => runs.get(id) ?? [])
  const isRefused = job.statuses.length > 0 && job.statuses.every((status) => PROMISES.has(status ?? 0))
  if (isRefused && ranOf(itemRuns).length > 0) broken.push(`not run: job ${job.id} got ${job.statuses.join(' ')} and ran`)
  if (job.acceptedAt === undefined) return broken
  if (job.endedAt !== undefined) {
    const late = itemRuns.filter(({ at }) => at > job.endedAt! + CANCEL_MS)
    if (late.length > 0) broken.push(`ended: job ${job.id} reached targets ${late.length} times after its end`)
    return broken
  }
  if (!job.isWhole) broken.push(`complete: job ${job.id} has ${job.seen.length} of ${job.items} results`)
  const results = job.seen.map((text) => JSON.parse(text) as { id: string, state: string, text: string })
  if (new Set(results.map(({ id }) => id)).size < results.length) broken.push(`once: job ${job.id} lists an item twice`)
  for (const { id, state, text } of results) {
    // A target that fails each run may use up an item's tries.
    if (state !== 'completed') continue
    if (!itemIds.includes(id) || !isWholeText(id, text.split('\n'))) broken.push(`whole: item ${id}: ${text}`)
  }
  return broken
}

/** A target that left gets nothing once the change must be known. */
function checkLeft ({ fleet, faults }: Observations): string[] {
  return fleet.targets.flatMap(({ standin, leftAt }) => {
    if (leftAt === undefined) return []
    const isDelayed = faults.some(({ kind, from, to }) =>
      DELAYING.has(kind) && from < leftAt + DRAIN_MS && to > leftAt - CONTACT_MS)
    const late = standin.runs.filter(({ at }) => at > leftAt + DRAIN_MS)
    return isDelayed || late.length === 0 ? [] : [`left: ${standin.id} got ${late.length} requests after it left`]
  })
}

function checkRecovery ({ attempts, recoveredAt }: Observations): string[] {
  const after = attempts.filter(({ sentAt }) => sentAt >= recoveredAt)
  const whole = after.filter(({ answer }) => answer?.status === HTTP_OK && answer.isWhole).length
  return whole >= after.length * RECOVERED_SHARE ? [] : [`recovery: ${whole} of ${after.length} requests were answered whole`]
}
