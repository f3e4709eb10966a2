/** Checks of streams over the tries of their callers, and of answers whose target pauses. */
import { eventText, type ReplicaRun } from 'pimentoplank-platform/testing'
import { HTTP_OK, readEvents, type Attempt } from './liveRequests'
import type { SoakInstance, SoakTarget, Span } from './soakFleet'

/** A target, as far as the checks look at it. */
export interface SeenTarget extends Pick<SoakTarget, 'startedAt' | 'leftAt' | 'disturbed'> {
  standin: Pick<SoakTarget['standin'], 'id' | 'version' | 'runs'>
}

export interface SeenStreams {
  targets: readonly SeenTarget[]
  attempts: readonly Attempt[]
  /** Results of jobs: the ids of their items, and the number of events in their texts. */
  items: ReadonlyArray<{ id: string, events: number }>
  /** Periods in which the store, or the connection of an instance to it, had a fault. */
  storeFaults: readonly Span[]
}

/** Number of events in each response of the run's targets. */
export const EVENTS_PER_RESPONSE = 12
/** Bounds of the platform's documentation, in milliseconds. */
const CONTACT_MS = 3000
const PROPAGATION_MS = 2000
const ROUTE_TIMEOUT_MS = 4000
/** Time before the route's timeout from which an answer may be cut, in milliseconds. */
const TIMEOUT_SLACK_MS = 500
/** Time for the end of an answer to reach the caller, in milliseconds. */
const SLACK_MS = 100
const MIN_RESUMED = 12
const MIN_RESUMED_SHARE = 0.5
const MIN_VERSION_TARGETS = 2
/** Number of characters of a text that a violation names. */
const MAX_TEXT = 100

type RunsById = ReadonlyMap<string, readonly ReplicaRun[]>

/** Returns a description of each violation. */
export function findStreamViolations (seen: SeenStreams): string[] {
  const runs = groupBy(seen.targets.flatMap(({ standin }) => standin.runs), ({ id }) => id)
  const streams = groupBy(seen.attempts.filter(({ kind }) => kind === 'resumable'), ({ request }) => request)
  return [
    ...seen.attempts.flatMap(checkEvents),
    ...[...streams].flatMap(([request, attempts]) => checkJoinedText(request, attempts)),
    ...listMixedStreams(seen).map((id) => `order: stream ${id} mixes versions`),
    ...listMixed(seen.items.map(({ id, events }) => [{ id, from: 0, to: events }]), runs).map((id) => `order: item ${id} mixes versions`),
    ...checkResumed(seen, runs),
    ...checkPauses(seen, runs)
  ]
}

export function groupBy<Item> (items: readonly Item[], getKey: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) groups.set(getKey(item), [...groups.get(getKey(item)) ?? [], item])
  return groups
}

function isBegun ({ answer }: Attempt): boolean {
  return answer?.status === HTTP_OK
}

/** An answer, whole or not, has the events after the last one that the caller held, in order. */
function checkEvents (attempt: Attempt): string[] {
  const { id, from, answer } = attempt
  if (!isBegun(attempt)) return []
  const events = readEvents(answer!.body)
  const isInOrder = events.every((event, index) =>
    event.id === from + index + 1 && event.data === eventText(id, event.id))
  const isComplete = !answer!.isWhole || (from + events.length === EVENTS_PER_RESPONSE && !answer!.isTruncated)
  if (isInOrder && isComplete) return []
  const texts = events.slice(0, EVENTS_PER_RESPONSE + 1).map(({ data }) => data.slice(0, MAX_TEXT))
  return [`whole: ${id} from ${from} got ${events.length} events: ${texts.join(' ')}`]
}

/** Each attempt goes on after the events of the attempts before it, up to the last one. */
function checkJoinedText (request: string, attempts: readonly Attempt[]): string[] {
  const ids = attempts.filter(isBegun).flatMap(({ answer }) => readEvents(answer!.body).map(({ id }) => id))
  const isEnded = attempts.some(({ answer }) => answer?.status === HTTP_OK && answer.isWhole)
  const isJoined = ids.every((id, index) => id === index + 1) && (!isEnded || ids.length === EVENTS_PER_RESPONSE)
  return isJoined ? [] : [`whole: stream ${request} has events ${ids.join(' ').slice(0, MAX_TEXT)} over its attempts`]
}

/** Part of a text that one request brought: the events after `from`, up to and including `to`. */
interface Part {
  id: string
  from: number
  to: number
}

function getPart (attempt: Attempt): Part {
  const { id, from, answer } = attempt
  return { id, from, to: isBegun(attempt) ? readEvents(answer!.body).at(-1)?.id ?? from : from }
}

/** Returns whether some runs, each going on where those before it ended, can have brought a part. */
function canBring (runs: readonly ReplicaRun[], { from, to }: Part): boolean {
  let reached = from
  for (const run of [...runs].sort((a, b) => a.at - b.at)) {
    if (run.from <= reached) reached = Math.max(reached, run.from + run.sent)
  }
  return reached >= to
}

/** Lists the texts that hold events of several software versions, by the id of their first part. */
function listMixed (texts: readonly Part[][], runs: RunsById): string[] {
  return texts.filter((text) => {
    const parts = text.filter(({ from, to }) => to > from)
    const versions = new Set(parts.flatMap(({ id }) => runs.get(id) ?? []).map(({ version }) => version))
    const canBringAll = (version?: string): boolean => parts.every((part) => (
      canBring((runs.get(part.id) ?? []).filter((run) => version === undefined || run.version === version), part)
    ))
    // What no runs can have brought has a gap, which is another violation.
    return canBringAll() && parts.length > 0 && ![...versions].some(canBringAll)
  }).map((text) => text[0]!.id)
}

/** Lists the streams that hold events of several software versions over the attempts of their callers. */
export function listMixedStreams ({ targets, attempts }: Pick<SeenStreams, 'targets' | 'attempts'>): string[] {
  const runs = groupBy(targets.flatMap(({ standin }) => standin.runs), ({ id }) => id)
  const streams = groupBy(attempts.filter(({ kind }) => kind === 'resumable'), ({ request }) => request)
  return listMixed([...streams.values()].map((tries) => tries.map(getPart)), runs)
}

function overlaps ({ from, to }: Span, other: Span): boolean {
  return from <= other.to && to >= other.from
}

/** Returns whether a target was listed and without a fault for a time before a period, and in it. */
function isSound ({ startedAt, leftAt = Infinity, disturbed }: SeenTarget, { from, to }: Span): boolean {
  const isListed = startedAt <= from - PROPAGATION_MS && leftAt > to
  return isListed && !disturbed.some((span) => overlaps(span, { from: from - CONTACT_MS, to }))
}

/** Returns whether an instance was in touch, as the platform's documentation calls it, when it gave an answer. */
export function isInTouch (
  { instance, sentAt, endedAt }: Pick<Attempt, 'sentAt' | 'endedAt'> & { instance: Pick<SoakInstance, 'touchedAt'> },
  storeFaults: readonly Span[]
): boolean {
  const span = { from: sentAt - CONTACT_MS, to: endedAt }
  const isTouched = instance.touchedAt.some((at) => overlaps({ from: at, to: at }, span))
  return !isTouched && !storeFaults.some((fault) => overlaps(fault, span))
}

/** Streams that can go on at two targets of their version must do so nearly as often as new ones begin. */
function checkResumed ({ targets, attempts, storeFaults }: SeenStreams, runs: RunsById): string[] {
  const streams = attempts.filter((attempt) => attempt.kind === 'resumable' && isInTouch(attempt, storeFaults))
  const began = new Map(attempts.filter(({ from }) => from === 0).map((attempt) => [attempt.request, attempt]))
  const resumed = streams.filter(({ request, from, sentAt, endedAt }) => {
    const first = began.get(request)
    const version = first === undefined ? undefined : runs.get(first.id)?.findLast(({ sent }) => sent > 0)?.version
    const serving = targets.filter((target) =>
      target.standin.version === version && isSound(target, { from: sentAt, to: endedAt }))
    return from > 0 && serving.length >= MIN_VERSION_TARGETS
  })
  const fresh = streams.filter(({ from }) => from === 0)
  const share = countShare(resumed, (attempt) => goesOn(attempt))
  const freshShare = countShare(fresh, (attempt) => goesOn(attempt))
  const isKept = resumed.length < MIN_RESUMED || share >= MIN_RESUMED_SHARE * freshShare
  return isKept ? [] : [`lost: ${toPercent(share)} of ${resumed.length} streams went on, but ${toPercent(freshShare)} of ${fresh.length} began`]
}

function goesOn ({ answer }: Attempt): boolean {
  return answer?.status === HTTP_OK && (answer.isWhole || readEvents(answer.body).length > 0)
}

function countShare<Item> (items: readonly Item[], isCounted: (item: Item) => boolean): number {
  return items.length === 0 ? 1 : items.filter(isCounted).length / items.length
}

function toPercent (share: number): string {
  return `${Math.round(share * 100)}%`
}

/** An answer that has begun is not cut while its target is sound and merely silent. */
function checkPauses ({ targets, attempts }: SeenStreams, runs: RunsById): string[] {
  const targetOf = new Map(targets.flatMap((target) => target.standin.runs.map((run) => [run, target] as const)))
  return attempts.flatMap((attempt) => {
    const { id, instance, answer, sentAt, endedAt, hasLeft } = attempt
    const own = (runs.get(id) ?? []).filter(({ ran }) => ran)
    const silent = own.find(({ outcome, paused }) => outcome === 'dropped' && paused !== undefined)
    if (silent === undefined || hasLeft || !isBegun(attempt) || answer!.isWhole) return []
    const hasTimeLeft = endedAt - sentAt < ROUTE_TIMEOUT_MS - TIMEOUT_SLACK_MS
    const isTouched = instance.touchedAt.some((at) => at >= sentAt - CONTACT_MS && at <= endedAt + SLACK_MS)
    const isCut = instance.cuts.some((span) => overlaps(span, { from: sentAt - CONTACT_MS, to: endedAt }))
    const isSoundRun = own.every((run) => {
      const { disturbed, leftAt = Infinity } = targetOf.get(run)!
      return leftAt > endedAt && !disturbed.some((span) => overlaps(span, { from: run.at - CONTACT_MS, to: endedAt }))
    })
    return hasTimeLeft && !isTouched && !isCut && isSoundRun
      ? [`silence: ${id} was cut after ${endedAt - sentAt} ms, in a pause after ${silent.paused!.events} events`]
      : []
  })
}
