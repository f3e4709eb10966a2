import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  findOnlyVersion, findPlacedVersion, listResumeCandidates,
  type ResumeCandidate, type ResumeInput, type VersionHistory
} from '.'

interface VersionsWorld {
  history: VersionHistory
  found: string | undefined
  listed: { id: string, version: string, startedAt: number | undefined }
  versions: Array<string | undefined>
  candidates: ResumeCandidate[]
  search: ResumeInput
}

const NOW = 100_000
const MS_PER_S = 1000

Given('a service that has been followed for {int} s, with versions last registered {}', function (
  this: VersionsWorld, seconds: number, versions: string
) {
  this.history = {
    followedSince: NOW - seconds * MS_PER_S,
    versions: new Map(versions.split(', ').map((entry): [string, number] => {
      const [version, at] = entry.split(' ')
      return [version!, at === 'now' ? Infinity : NOW - Number(at) * MS_PER_S]
    })),
    hasOutdatedEntries: false
  }
})

Given('the entry of one of its targets is out of date', function (this: VersionsWorld) {
  this.history.hasOutdatedEntries = true
})

When('the version of a stream that may have begun {int} s ago is looked for', function (
  this: VersionsWorld, seconds: number
) {
  this.found = findOnlyVersion(this.history, seconds * MS_PER_S, NOW)
})

Then('it is {string}', function (this: VersionsWorld, version: string) {
  assert.equal(this.found ?? 'unknown', version)
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
