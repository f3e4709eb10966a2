/** Checks the requests and runs that callers and targets recorded against the guarantees of the relay. */
import { eventText, type ReplicaRun } from 'pimentoplank-platform/testing'
import type { SoakJob } from './callers'
import type { InjectedFault } from './inject'
import { findOrderViolations } from './orderChecks'
import type { Observed } from './observer'
import { HTTP_OK, NOT_RUN_STATUSES, readEvents, type Attempt, type LiveKind } from './liveRequests'
import type { SoakFleet } from './soakFleet'
import { EVENTS_PER_RESPONSE, findStreamViolations } from './streamChecks'

export interface Observations {
  fleet: SoakFleet
  attempts: readonly Attempt[]
  jobs: readonly SoakJob[]
  faults: readonly InjectedFault[]
  /** Time by which the deployment must have recovered, as wall clock time in milliseconds. */
  recoveredAt: number
  observed: Observed
}

const AT_MOST_ONCE: ReadonlySet<LiveKind> = new Set(['once', 'plainOnce'])
/** Bounds given by the settings and the platform's documentation, in milliseconds. */
const DRAIN_MS = 2000
const CANCEL_MS = 3000
const CONTACT_TIMEOUT_MS = 3000
const MS_PER_S = 1000
/** Number of characters of an item's text that a violation names. */
const MAX_TEXT = 500
/** Minimum share of requests that get a complete response after recovery. */
const MIN_RECOVERED_SHARE = 0.9
/** Faults of the store, or of an instance's connection to it. */
const STORE_FAULTS: ReadonlySet<string> = new Set([
  'storeBusy', 'storeSilent', 'storeLosesAnswers', 'storeForgets', 'storeLink'
])
/** Faults that may delay the propagation of a change at the store, or a request on its way to a target. */
const DELAYING_FAULTS: ReadonlySet<string> = new Set([
  ...STORE_FAULTS, 'kill', 'killMany', 'freeze', 'stop', 'instanceCut'
])

/** Checks every guarantee; returns a description of each violation. */
export function findViolations (seen: Observations): string[] {
  const storeFaults = seen.faults.filter(({ kind }) => STORE_FAULTS.has(kind))
  const runs = new Map<string, ReplicaRun[]>()
  for (const run of seen.fleet.targets.flatMap(({ standin }) => standin.runs)) {
    runs.set(run.id, [...runs.get(run.id) ?? [], run])
  }
  return [
    ...seen.fleet.instances.flatMap(({ crashes }) => crashes),
    ...seen.attempts.flatMap((attempt) => checkAttempt(attempt, runs.get(attempt.id) ?? [])),
    ...seen.jobs.flatMap((job) => checkJob(job, runs)),
    ...findStreamViolations({
      targets: seen.fleet.targets,
      attempts: seen.attempts,
      items: seen.jobs.flatMap(getItems),
      storeFaults
    }),
    ...findOrderViolations({
      ...seen.observed,
      instances: seen.fleet.instances,
      configurations: seen.fleet.configurations,
      pages: seen.jobs.flatMap(({ pages }) => pages),
      storeFaults
    }),
    ...checkRemovedTargets(seen),
    ...checkLeavingTargets(seen),
    ...checkCrashingPart(seen),
    ...checkLimits(seen),
    ...checkEndless(seen),
    ...checkCutInstances(seen),
    ...checkRecovery(seen)
  ]
}

function getItems ({ firstResults }: SoakJob): Array<{ id: string, events: number }> {
  return firstResults.map((text) => JSON.parse(text) as { id: string, state: string, text: string })
    .filter(({ state }) => state === 'completed')
    .map(({ id, text }) => ({ id, events: text.split('\n').length }))
}

function filterRan (runs: readonly ReplicaRun[]): ReplicaRun[] {
  return runs.filter(({ ran }) => ran)
}

function checkAttempt (attempt: Attempt, runs: readonly ReplicaRun[]): string[] {
  const { id, kind, answer, instance } = attempt
  const problems: string[] = []
  const ran = filterRan(runs).length
  if (AT_MOST_ONCE.has(kind) && ran > 1) problems.push(`once: ${id} ran ${ran} times`)
  if (answer === undefined) {
    const { sentAt, endedAt } = attempt
    const isDisturbed = instance.disturbedAt.some((at) => at >= sentAt - CONTACT_TIMEOUT_MS && at <= endedAt + 1)
    if (ran > 0 && !isDisturbed) problems.push(`lost: ${id} ran but got no response from ${instance.id}`)
    return problems
  }
  if (NOT_RUN_STATUSES.has(answer.status) && ran > 0) problems.push(`not run: ${id} got ${answer.status} but ran`)
  if (answer.status !== HTTP_OK || !answer.isWhole) return problems
  if (answer.headers['response-signature'] === undefined) problems.push(`proof: ${id} got no Response-Signature`)
  return problems
}

function isCompleteText (id: string, data: readonly string[]): boolean {
  return data.length === EVENTS_PER_RESPONSE && data.every((text, index) => text === eventText(id, index + 1))
}

function checkJob (job: SoakJob, runs: ReadonlyMap<string, ReplicaRun[]>): string[] {
  const problems = job.violations.map((fault) => `job ${job.id}: ${fault}`)
  const itemIds = Array.from({ length: job.items }, (_, index) => `${job.id}i${index}`)
  const itemRuns = itemIds.flatMap((id) => runs.get(id) ?? [])
  const isRefused = job.statuses.length > 0 && job.statuses.every((status) => NOT_RUN_STATUSES.has(status ?? 0))
  if (isRefused && filterRan(itemRuns).length > 0) problems.push(`not run: job ${job.id} got ${job.statuses.join(' ')} but ran`)
  if (job.acceptedAt === undefined) return problems
  if (job.endedAt !== undefined) {
    const late = itemRuns.filter(({ at }) => at > job.endedAt! + CANCEL_MS)
    if (late.length > 0) problems.push(`ended: job ${job.id} was sent to targets ${late.length} times after its end`)
    return problems
  }
  if (!job.isWhole) problems.push(`complete: job ${job.id} has ${job.firstResults.length} of ${job.items} results`)
  const results = job.firstResults.map((text) => JSON.parse(text) as { id: string, state: string, text: string })
  if (new Set(results.map(({ id }) => id)).size < results.length) problems.push(`once: job ${job.id} has an item twice`)
  for (const { id, state, text } of results) {
    // A target that fails every run may use up the attempts of an item.
    if (state !== 'completed') continue
    if (!itemIds.includes(id) || !isCompleteText(id, text.split('\n'))) problems.push(`whole: item ${id}: ${text.slice(0, MAX_TEXT)}`)
  }
  return problems
}

/** A removed target must get no requests once the removal must have propagated. */
function checkRemovedTargets ({ fleet, faults }: Observations): string[] {
  return fleet.targets.flatMap(({ standin, leftAt }) => {
    if (leftAt === undefined) return []
    const isDelayed = faults.some(({ kind, from, to }) =>
      DELAYING_FAULTS.has(kind) && from < leftAt + DRAIN_MS && to > leftAt - CONTACT_TIMEOUT_MS)
    const late = standin.runs.filter(({ at }) => at > leftAt + DRAIN_MS)
    return isDelayed || late.length === 0 ? [] : [`left: ${standin.id} got ${late.length} requests after its removal`]
  })
}

/** Faults of instances; after them an instance is excused for `CONTACT_TIMEOUT_MS`. */
const INSTANCE_FAULTS: ReadonlySet<string> = new Set(['stop', 'kill', 'killMany', 'freeze', 'hangUp'])
/** Crashes after which a part must be found, and requests with it that may reach targets later. */
const GRACE_CRASHES = 5
const MAX_LATE_REQUESTS = 3
const LIMIT_WINDOW_MS = 4000
/** Part of a named limit, and number of requests, by which it may be exceeded. */
const LIMIT_TOLERANCE = { factor: 1.5, extra: 5 }

function isInstanceDisturbed (faults: readonly InjectedFault[], from: number, to: number): boolean {
  return faults.some((fault) =>
    INSTANCE_FAULTS.has(fault.kind) && fault.from <= to && fault.to >= from - CONTACT_TIMEOUT_MS)
}

/** A target that says that it leaves must get no requests later than the drain bound, whatever its entry says. */
function checkLeavingTargets ({ fleet, faults }: Observations): string[] {
  return fleet.targets.flatMap(({ standin }) => {
    const toldAt = standin.getToldLeavingAt()
    if (toldAt === undefined) return []
    const late = standin.runs.filter(({ at }) => at > toldAt + DRAIN_MS && !isInstanceDisturbed(faults, toldAt, at))
    return late.length === 0 ? [] : [`leaving: ${standin.id} got ${late.length} requests after it had said that it leaves`]
  })
}

/** Once a part has crashed targets several times, requests with it must not reach targets any more. */
function checkCrashingPart ({ fleet, faults }: Observations): string[] {
  const runs = fleet.targets.flatMap(({ standin }) => standin.runs)
    .filter(({ headers }) => String(headers['prompt-prefix']).includes(',bad'))
    .sort((a, b) => a.at - b.at)
  const fifth = runs.filter(({ ran }) => ran)[GRACE_CRASHES - 1]
  if (fifth === undefined) return []
  const late = runs.filter(({ at }) => at > fifth.at + CONTACT_TIMEOUT_MS && !isInstanceDisturbed(faults, at, at))
  return late.length <= MAX_LATE_REQUESTS ? [] : [`crashing part: ${late.length} requests with it reached targets too late`]
}

function checkLimits ({ fleet, faults }: Observations): string[] {
  return fleet.targets.flatMap(({ standin: { id, runs } }) => {
    const named = runs.filter(({ limitPerSecond }) => limitPerSecond !== undefined)
    const since = (named[0]?.at ?? Infinity) + CONTACT_TIMEOUT_MS
    const limited = named.filter(({ at }) => at >= since)
    const exceeding = limited.filter(({ at: from, limitPerSecond }) => {
      const to = from + LIMIT_WINDOW_MS
      const count = limited.filter(({ at }) => at >= from && at < to).length
      const most = LIMIT_TOLERANCE.factor * limitPerSecond! * LIMIT_WINDOW_MS / MS_PER_S + LIMIT_TOLERANCE.extra
      return count > most && !isInstanceDisturbed(faults, from, to)
    })
    return exceeding.length === 0 ? [] : [`limit: ${id} got more than it takes, from ${exceeding[0]!.at} on`]
  })
}

/** Connections on which bytes come without end must be closed. A link that has gone silent hides it from the target. */
function checkEndless ({ fleet }: Observations): string[] {
  return fleet.targets.flatMap(({ standin, link }) => {
    const open = standin.getEndless().filter(({ port }) => !link.isHalfOpen(port)).map(({ id }) => id)
    return open.length === 0 ? [] : [`endless: connections of ${standin.id} are still open: ${open.join(', ')}`]
  })
}

/** Time after the start of a cut from which first tries count. */
const CUT_GRACE_MS = 3000
/** Served share of first tries at cut instances, as a part of the share elsewhere. */
const MIN_CUT_SHARE = 2 / 3
/** Number of first tries by which chance may fall short of that. */
const CUT_TOLERANCE = 4

/** First tries at instances without a path to the targets must be served nearly as often as those at the others. */
function checkCutInstances ({ fleet, attempts }: Observations): string[] {
  const { instances } = fleet
  const unframed = listUnframedRuns(fleet)
  const spans = new Set(instances.flatMap(({ cuts }) => cuts))
  return [...spans].flatMap((span) => {
    const first = attempts.filter(({ id, sentAt, endedAt, instance: { touchedAt }, hasLeft }) => {
      const from = sentAt - CONTACT_TIMEOUT_MS
      const isInTouch = !touchedAt.some((at) => at >= from && at <= endedAt)
      return id.endsWith('a0') && !hasLeft && isInTouch && sentAt >= span.from + CUT_GRACE_MS && sentAt < span.to
    })
    const atCut = first.filter(({ instance }) => instance.cuts.includes(span))
    const atOthers = first.filter(({ instance }) => !instance.cuts.includes(span))
    const [served, servedElsewhere] = [countServed(atCut, unframed), countServed(atOthers, unframed)]
    const least = MIN_CUT_SHARE * atCut.length * servedElsewhere / Math.max(1, atOthers.length)
    if (served + CUT_TOLERANCE >= least) return []
    const seen = `${served} of ${atCut.length} first tries served, elsewhere ${servedElsewhere} of ${atOthers.length}`
    const cut = instances.filter(({ cuts }) => cuts.includes(span)).map(({ id }) => id)
    return [`cut off: ${seen}, from ${span.from} on at ${cut.join(', ')}`]
  })
}

/** Lists the runs at targets that end their answers with the connection, by the id of the request. */
function listUnframedRuns ({ targets }: Pick<SoakFleet, 'targets'>): Set<string> {
  const unframed = targets.filter(({ standin: { faults, framing } }) => (faults.framing ?? framing) === 'connection')
  return new Set(unframed.flatMap(({ standin }) => standin.runs.map(({ id }) => id)))
}

/** An answer that may not run again and ends with its connection is told as incomplete, whatever it holds. */
function isServed ({ id, kind, answer }: Attempt, unframed: ReadonlySet<string>): boolean {
  if (answer?.status !== HTTP_OK) return false
  const data = readEvents(answer.body).map((event) => event.data)
  return answer.isWhole || (AT_MOST_ONCE.has(kind) && unframed.has(id) && isCompleteText(id, data))
}

function countServed (attempts: readonly Attempt[], unframed: ReadonlySet<string>): number {
  return attempts.filter((attempt) => isServed(attempt, unframed)).length
}

function checkRecovery ({ fleet, attempts, recoveredAt }: Observations): string[] {
  const after = attempts.filter(({ sentAt, hasLeft }) => sentAt >= recoveredAt && !hasLeft)
  const served = countServed(after, listUnframedRuns(fleet))
  return served >= after.length * MIN_RECOVERED_SHARE ? [] : [`recovery: ${served} of ${after.length} requests completed`]
}
