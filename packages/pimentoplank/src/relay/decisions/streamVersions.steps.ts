import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  addCurrentVersions, findOnlyOrigin, findPlacedVersion, listResumeCandidates,
  type ResumeCandidate, type ResumeInput, type StreamOrigin, type VersionHistory
} from '.'

interface VersionsWorld {
  history: VersionHistory
  /** History of a second service of the route. */
  otherHistory?: VersionHistory
  found: StreamOrigin | undefined
  listed: { id: string, version: string, startedAt: number | undefined }
  versions: Array<string | undefined>
  candidates: ResumeCandidate[]
  search: ResumeInput
}

const NOW = 100_000
const MS_PER_UNIT: Record<string, number> = { s: 1000, min: 60_000 }

/** Parses a time such as `3s` or `for 61min`. */
function parseMs (text: string): number {
  const [, number, unit] = /(\d+)(s|min)/.exec(text)!
  return Number(number) * MS_PER_UNIT[unit!]!
}

function parseHistory (known: string, versions: string): VersionHistory {
  return {
    knownSince: known === 'from its beginning' ? -Infinity : NOW - parseMs(known),
    versions: new Map(versions.split(', ').map((entry): [string, number] => {
      const [version, at] = entry.split(' ')
      return [version!, at === 'now' ? Infinity : NOW - parseMs(at!)]
    })),
    hasOutdatedEntries: false
  }
}

Given('a service whose versions are known {}, last registered {}', function (
  this: VersionsWorld, known: string, versions: string
) {
  this.history = parseHistory(known, versions)
})

Given('the route is split with a service whose versions are known {}, last registered {}', function (
  this: VersionsWorld, known: string, versions: string
) {
  this.otherHistory = parseHistory(known, versions)
})

Given('the entry of one of its targets is out of date', function (this: VersionsWorld) {
  this.history.hasOutdatedEntries = true
})

Given(/^the platform has ((?:\w+ ?)+) registered and ((?:\w+ ?)+) recorded$/, function (
  this: VersionsWorld, registered: string, recorded: string
) {
  const current = {
    registered: new Set(registered.split(' ')), recorded: new Set(recorded.split(' ')), hasOtherProcess: false
  }
  this.history = addCurrentVersions(this.history, current, NOW)
})

When('the version of a stream of which nothing is known is looked for', function (this: VersionsWorld) {
  this.found = findOnlyOrigin(listHistories(this), NOW)
})

When('the service of a stream of version {word} is looked for', function (this: VersionsWorld, version: string) {
  this.found = findOnlyOrigin(listHistories(this), NOW, version)
})

function listHistories ({ history, otherHistory }: VersionsWorld): Map<string, VersionHistory> {
  return new Map([['first', history], ...otherHistory === undefined ? [] : [['second', otherHistory] as const]])
}

Then('it is {string}', function (this: VersionsWorld, version: string) {
  assert.equal(this.found?.version ?? 'unknown', version)
})

Then('it is the {word} service', function (this: VersionsWorld, service: string) {
  assert.equal(this.found?.service ?? 'unknown', service)
})

function parseStart (text: string): number | undefined {
  return text === 'unknown' ? undefined : Number(text)
}

Given('an entry that describes a process of version v1 that started at {word}', function (
  this: VersionsWorld, startedAt: string
) {
  this.listed = { id: 't', version: 'v1', startedAt: parseStart(startedAt) }
})

When('a stream is placed at the process that started at {word}, and an entry of version v2 and start {int} comes later', function (
  this: VersionsWorld, found: string, laterStart: number
) {
  const placed = { target: 't', startedAt: parseStart(found) }
  const first = findPlacedVersion(placed, [this.listed, undefined])
  const next = { id: 't', version: 'v2', startedAt: laterStart }
  this.versions = [first, first ?? findPlacedVersion(placed, [next])]
})

Then('its version is {string} at first and {string} later', function (
  this: VersionsWorld, first: string, later: string
) {
  assert.deepEqual(this.versions.map((version) => version ?? 'unknown'), [first, later])
})

Given('targets {string}', function (this: VersionsWorld, targets: string) {
  this.candidates = targets.split(', ').map((entry) => {
    const [id, version, state] = entry.split(' ')
    return { id: id!, version: version!, isOutdated: state === 'outdated' }
  })
})

When('a stream of version {word} that failed at {string} looks for a target', function (
  this: VersionsWorld, version: string, failed: string
) {
  this.search = { version, excluded: new Set([failed]), reusable: new Set([failed]) }
})

Then('it may go on at {string}', function (this: VersionsWorld, ids: string) {
  const list = listResumeCandidates(this.candidates, this.search).map(({ id }) => id)
  assert.equal(list.join(', ') || 'none', ids)
})
