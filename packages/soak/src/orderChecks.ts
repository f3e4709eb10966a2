/** Checks of what must not go back: pages of jobs, versions of the configuration, the directory, counters. */
import { eventText, type JobPage } from 'pimentoplank-platform/testing'
import { HTTP_OK } from './liveRequests'
import type { SoakInstance, Span } from './soakFleet'
import { EVENTS_PER_RESPONSE, groupBy, isInTouch } from './streamChecks'

export type SeenInstance = Pick<SoakInstance, 'id' | 'address' | 'lives' | 'touchedAt'>

/** An answer of an instance, with wall clock times in milliseconds. */
export interface Observation {
  instance: SeenInstance
  sentAt: number
  endedAt: number
}

export interface PageRead extends Observation {
  job: string
  /** Number of items that the job was submitted with. */
  items: number
  /** Position from which the results were read. */
  after: number
  page: JobPage
}

export interface DirectoryRead extends Observation {
  addresses: readonly string[]
}

/** A request on the route that only one version of the configuration has. */
export interface RouteProbe extends Observation {
  version: number
  status: number
}

/** Numbers of a process that only grow, or stay, in its life. */
export interface CounterRead extends Observation {
  counters: ReadonlyMap<string, number>
}

export interface SeenNumbers {
  instances: readonly SeenInstance[]
  pages: readonly PageRead[]
  directories: readonly DirectoryRead[]
  probes: readonly RouteProbe[]
  counters: readonly CounterRead[]
  /** When each version of the configuration was written, in order. */
  configurations: ReadonlyArray<{ version: number, at: number }>
  /** Periods in which the store, or the connection of an instance to it, had a fault. */
  storeFaults: readonly Span[]
}

/** Bounds of the platform's documentation, in milliseconds. */
const CONTACT_MS = 3000
const SETTLE_MS = 1000
const ROLLBACK_SLACK_MS = 250
const STATUS_NOT_FOUND = 404
/** Number of characters of a text that a violation names. */
const MAX_TEXT = 100

/** Returns a description of each violation. */
export function findOrderViolations (seen: SeenNumbers): string[] {
  const pages = groupBy(seen.pages, ({ job }) => job)
  return [
    ...seen.pages.flatMap(checkPage),
    ...[...pages.values()].flatMap((reads) => [...checkPositions(reads), ...checkLength(reads, seen.storeFaults)]),
    ...checkConfigurations(seen),
    ...checkDirectories(seen),
    ...checkCounters(seen.counters)
  ]
}

/** Returns whether a page has nothing at a position that an earlier page of any instance had. */
export function isShorter ({ after, page, sentAt }: PageRead, reads: readonly PageRead[], settleMs: number): boolean {
  const earlier = reads.filter(({ endedAt, page: { results } }) => endedAt < sentAt - settleMs && results.length > 0)
  return page.results.length === 0 && earlier.some((read) => read.after + read.page.results.length > after)
}

function checkPage ({ job, items, after, page: { total, next, results }, instance }: PageRead): string[] {
  const problems: string[] = []
  const from = `${job} after ${after} at ${instance.id}`
  if (total !== items) problems.push(`total: ${from} has ${total} items instead of ${items}`)
  if (next !== after + results.length || (results.length > 0 && next > items)) {
    problems.push(`next: ${from} has ${results.length} results and goes on at ${next}`)
  }
  const texts = results.filter(({ state }) => state === 'completed').map(({ id, text }) => ({ id, lines: text.split('\n') }))
  const broken = texts.filter(({ id, lines }) => (
    lines.length !== EVENTS_PER_RESPONSE || lines.some((line, index) => line !== eventText(id, index + 1))
  ))
  return problems.concat(broken.map(({ id, lines }) => `text: ${id} of ${from}: ${lines.join(' ').slice(0, MAX_TEXT)}`))
}

/** A position has the same result in all pages, and no item stands at two positions. */
function checkPositions (reads: readonly PageRead[]): string[] {
  const results = new Map<number, string>()
  const positions = new Map<string, number>()
  return reads.flatMap(({ job, after, page, instance }) => page.results.flatMap((result, index) => {
    const position = after + index
    const text = JSON.stringify(result)
    const isKept = (results.get(position) ?? text) === text && (positions.get(result.id) ?? position) === position
    results.set(position, text)
    positions.set(result.id, position)
    return isKept ? [] : [`position: ${job} has ${result.id} at ${position}, as read from ${instance.id}, and had not before`]
  }))
}

function checkLength (reads: readonly PageRead[], storeFaults: readonly Span[]): string[] {
  return reads.filter((read) => isShorter(read, reads, SETTLE_MS) && isInTouch(read, storeFaults))
    .map(({ job, after, instance }) => `length: ${job} has nothing at ${after} at ${instance.id}, where a result had been read`)
}

/** Returns the process that gave an answer; undefined if it was started or ended meanwhile. */
function getLife ({ instance, sentAt, endedAt }: Observation): Span | undefined {
  return instance.lives.find(({ from, to }) => from <= sentAt && endedAt <= to)
}

/** Groups answers by the processes that gave them. */
function groupByLife<Answer extends Observation> (answers: readonly Answer[]): Answer[][] {
  const lives = new Map<Span, Answer[]>()
  for (const answer of answers) {
    const life = getLife(answer)
    if (life !== undefined) lives.set(life, [...lives.get(life) ?? [], answer])
  }
  return [...lives.values()]
}

/** A process that has served by a version serves by no older one later. */
function checkConfigurations ({ probes, configurations }: SeenNumbers): string[] {
  return groupByLife(probes).flatMap((life) => life.flatMap((probe) => {
    const { version, status, instance, sentAt, endedAt } = probe
    const reached = Math.max(...life
      .filter((one) => one.status === HTTP_OK && one.endedAt < sentAt - ROLLBACK_SLACK_MS)
      .map((one) => one.version))
    const isOlder = status === HTTP_OK && version < reached
    const isNewerPossible = configurations.some((one) => one.version > version && one.at <= endedAt)
    const isDropped = status === STATUS_NOT_FOUND && version === reached && !isNewerPossible
    if (!isOlder && !isDropped) return []
    return [`version: ${instance.id} had served version ${reached}, and answered a request of version ${version} with ${status}`]
  }))
}

/** Lists are never empty, and an address that was left out comes back with its instance only. */
function checkDirectories ({ instances, directories, storeFaults }: SeenNumbers): string[] {
  const empty = directories.filter(({ addresses }) => addresses.length === 0)
    .map(({ instance, sentAt }) => `directory: ${instance.id} listed nobody at ${sentAt}`)
  const gone = instances.flatMap((instance) => getGone(instance).flatMap((span) => {
    const during = directories.filter(({ sentAt, endedAt }) => sentAt > span.from && endedAt < span.to)
    return groupByLife(during).flatMap((life) => checkGone(instance, span, life, storeFaults))
  }))
  return [...empty, ...gone]
}

/** Returns the periods in which an instance had no process. */
function getGone ({ lives }: SeenInstance): Span[] {
  return lives.slice(0, -1).map(({ to }, index) => ({ from: to, to: lives[index + 1]!.from }))
}

function checkGone (
  { id, address }: SeenInstance, gone: Span, answers: readonly DirectoryRead[], storeFaults: readonly Span[]
): string[] {
  return answers.filter(({ addresses }) => addresses.includes(address)).flatMap((answer) => {
    const { instance, sentAt } = answer
    const wasLeftOut = answers.some((one) => one.endedAt < sentAt && !one.addresses.includes(address))
    const isLate = sentAt > gone.from + CONTACT_MS && isInTouch(answer, storeFaults)
    const when = `${sentAt - gone.from} ms after its end`
    if (wasLeftOut) return [`directory: ${instance.id} listed ${id} again ${when}`]
    return isLate ? [`directory: ${instance.id} still listed ${id} ${when}`] : []
  })
}

function checkCounters (reads: readonly CounterRead[]): string[] {
  return groupByLife(reads).flatMap((life) => life.flatMap(({ instance, sentAt, counters }) => {
    const before = life.findLast(({ endedAt }) => endedAt <= sentAt)
    return [...before?.counters ?? []].filter(([name, value]) => (counters.get(name) ?? 0) < value)
      .map(([name, value]) => `counter: ${name} at ${instance.id} went from ${value} to ${counters.get(name) ?? 'none'}`)
  }))
}
