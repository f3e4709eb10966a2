import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  findOnlyVersion, isVersionDoubtful, listResumeCandidates,
  type ResumeCandidate, type ResumeInput, type VersionHistory
} from '.'

interface VersionsWorld {
  history: VersionHistory
  found: string | undefined
  isDoubtful: boolean
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
    }))
  }
})

When('the version of a stream that may have begun {int} s ago is looked for', function (
  this: VersionsWorld, seconds: number
) {
  this.found = findOnlyVersion(this.history, seconds * MS_PER_S, NOW)
})

Then('it is {string}', function (this: VersionsWorld, version: string) {
  assert.equal(this.found ?? 'unknown', version)
})

When("a run was placed {int} ms before the target's entry showed another version", function (
  this: VersionsWorld, ms: number
) {
  this.isDoubtful = isVersionDoubtful(NOW - ms, NOW)
})

Then(/^the version of the run is (in doubt|certain)$/, function (this: VersionsWorld, certainty: string) {
  assert.equal(this.isDoubtful, certainty === 'in doubt')
})

Given('targets {string}', function (this: VersionsWorld, targets: string) {
  this.candidates = targets.split(', ').map((entry) => {
    const [id, version, , , ms] = entry.split(' ')
    return { id: id!, version: version!, brokeOffAt: ms === undefined ? undefined : NOW - Number(ms) }
  })
})

When('a stream of version {word} that failed at {string} looks for a target', function (
  this: VersionsWorld, version: string, failed: string
) {
  this.search = { version, excluded: new Set([failed]), reusable: new Set([failed]), since: NOW, now: NOW }
})

When('{int} ms pass in which runs there break off again and again', function (this: VersionsWorld, ms: number) {
  this.search.now += ms
  for (const candidate of this.candidates) candidate.brokeOffAt = this.search.now
})

Then('it may go on at {string}', function (this: VersionsWorld, ids: string) {
  const list = listResumeCandidates(this.candidates, this.search).map(({ id }) => id)
  assert.equal(list.join(', ') || 'none', ids)
})
