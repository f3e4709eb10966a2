import assert from 'node:assert/strict'
import { Before, Given, Then, When } from '@cucumber/cucumber'
import { eventText, type JobPage } from 'pimentoplank-platform/testing'
import { EVENTS_PER_RESPONSE, findOrderViolations, type SeenInstance, type SeenNumbers } from '../src'

interface NumbersWorld {
  seen: { -readonly [Key in keyof SeenNumbers]: Array<SeenNumbers[Key][number]> }
}

const JOB = 'job'
/** Time of the first page; late enough that instances have been calm before it. */
const NOW = 100_000
const ANSWER_MS = 10

Before(function (this: NumbersWorld) {
  const answers = { pages: [], directories: [], probes: [], counters: [] }
  this.seen = { ...answers, instances: [], configurations: [], storeFaults: [] }
})

function getInstance ({ seen: { instances } }: NumbersWorld, id: string): SeenInstance {
  const known = instances.find((one) => one.id === id)
  if (known !== undefined) return known
  const added = { id, address: id, lives: [{ from: 0, to: Infinity }], touchedAt: [] }
  instances.push(added)
  return added
}

function answerAt (
  world: NumbersWorld, id: string, sentAt: number
): { instance: SeenInstance, sentAt: number, endedAt: number } {
  return { instance: getInstance(world, id), sentAt, endedAt: sentAt + ANSWER_MS }
}

function createText (id: string): string {
  return Array.from({ length: EVENTS_PER_RESPONSE }, (_, index) => eventText(id, index + 1)).join('\n')
}

function createPage (count: number, after = 0): JobPage {
  const results = Array.from({ length: count }, (_, index) => {
    const id = `${JOB}i${after + index}`
    return { id, state: 'completed', text: createText(id) }
  })
  return { total: 4, next: after + count, results }
}

function addPage (world: NumbersWorld, id: string, sentAt: number, page: JobPage, after = 0): void {
  world.seen.pages.push({ ...answerAt(world, id, sentAt), job: JOB, items: 4, after, page })
}

Given('a job of 4 items of which front-1 listed 3 results', function (this: NumbersWorld) {
  addPage(this, 'front-1', NOW, createPage(3))
})

/** Pages and the positions that they are read from. */
const PAGES: Record<string, { page: JobPage, after?: number }> = {
  '4 results': { page: createPage(4) },
  '2 results of them': { page: createPage(2) },
  '3 results and 5 items': { page: { ...createPage(3), total: 5 } },
  '3 results and 0 items': { page: { ...createPage(3), total: 0 } },
  '3 results and goes on at 2': { page: { ...createPage(3), next: 2 } },
  '5 results': { page: createPage(5) },
  '3 results in another order': { page: { ...createPage(3), results: createPage(3).results.reverse() } },
  '3 results of which one is a dead letter now': {
    page: { ...createPage(3), results: [...createPage(2).results, { id: `${JOB}i2`, state: 'dead_letter', text: '' }] }
  },
  'the third result at the fourth position': { page: { ...createPage(1, 2), next: 4 }, after: 3 },
  'a text without event 5': createPageWithLines((lines) => lines.toSpliced(4, 1)),
  'a text with event 5 twice': createPageWithLines((lines) => lines.toSpliced(4, 0, lines[4]!))
}

function createPageWithLines (change: (lines: string[]) => string[]): { page: JobPage, after: number } {
  const page = createPage(1, 3)
  page.results[0]!.text = change(page.results[0]!.text.split('\n')).join('\n')
  return { page, after: 3 }
}

When(/^front-2 lists (\d results.*|the third.*|a text.*) (\d+) ms later$/, function (this: NumbersWorld, name: string, ms: string) {
  const { page, after } = PAGES[name]!
  addPage(this, 'front-2', NOW + Number(ms), page, after)
})

/** Time of the read that follows, in milliseconds after the first page. */
const READ_MS = 5000

Given(/^(nothing|a signal|a store fault) happens to front-2 (\d+) ms before it is read there$/, function (
  this: NumbersWorld, trouble: string, ms: string
) {
  const at = NOW + READ_MS - Number(ms)
  if (trouble === 'a signal') (getInstance(this, 'front-2').touchedAt as number[]).push(at)
  if (trouble === 'a store fault') this.seen.storeFaults.push({ from: at - 500, to: at })
})

When('front-2 lists nothing after {int} {int} ms later', function (this: NumbersWorld, after: number, ms: number) {
  addPage(this, 'front-2', NOW + ms, createPage(0, after), after)
})

Given('version 2 at {int} ms, version 3 at {int} ms and version 4 at {int} ms', function (
  this: NumbersWorld, second: number, third: number, fourth: number
) {
  [second, third, fourth].forEach((at, index) => this.seen.configurations.push({ version: 2 + index, at }))
})

function addProbe (world: NumbersWorld, version: number, status: number, at: number): void {
  world.seen.probes.push({ ...answerAt(world, 'front-1', at), version, status })
}

Given('front-1 answered a request of version {int} with {int} at {int} ms', function (
  this: NumbersWorld, version: number, status: number, at: number
) {
  addProbe(this, version, status, at)
})

When('it answers a request of version {int} with {int} at {int} ms', function (
  this: NumbersWorld, version: number, status: number, at: number
) {
  addProbe(this, version, status, at)
})

Given('{word} was gone from {int} to {int} ms', function (this: NumbersWorld, id: string, from: number, to: number) {
  Object.assign(getInstance(this, id), { lives: [{ from: 0, to: from }, { from: to, to: Infinity }] })
})

When('the directory of front-1 lists {} at {int} ms', function (this: NumbersWorld, names: string, at: number) {
  const addresses = names === 'nobody' ? [] : names.split(', ')
  this.seen.directories.push({ ...answerAt(this, 'front-1', at), addresses })
})

function addCounter (world: NumbersWorld, value: number | undefined, at: number): void {
  const counters = new Map(value === undefined ? [] : [['requests_total', value]])
  world.seen.counters.push({ ...answerAt(world, 'front-1', at), counters })
}

Given('a counter of front-1 was {int} at {int} ms', function (this: NumbersWorld, value: number, at: number) {
  addCounter(this, value, at)
})

When(/^it is (\d+|gone) at (\d+) ms$/, function (this: NumbersWorld, value: string, at: string) {
  addCounter(this, value === 'gone' ? undefined : Number(value), Number(at))
})

Then(/^(nothing|total|next|position|length|text|version|directory|counter) goes back$/, function (
  this: NumbersWorld, name: string
) {
  const names = new Set(findOrderViolations(this.seen).map((text) => text.replace(/:.*/, '')))
  assert.deepEqual([...names], name === 'nothing' ? [] : [name])
})
