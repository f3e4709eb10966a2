import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import { RELAY_RULES } from '../rules'
import {
  chooseStarts, decideItemVersion, type BatchCandidate, type BatchScheduleInput, type ItemVersionInput, type WaitingItem
} from '.'

interface VersionWorld {
  targets: BatchCandidate[]
  own: WaitingItem[]
  others: BatchScheduleInput<WaitingItem>['others']
  input: ItemVersionInput
}

function createTarget (id: string, version: string, slots: number): BatchCandidate {
  return { id, version, slots, live: 0, batch: 0, isNear: true, isSuspect: false, isFresh: true, allowance: Infinity }
}

Given('targets {string} of version {string} with {int} free slot(s) and {string} of version {string} with {int}', function (
  this: VersionWorld, first: string, firstVersion: string, firstSlots: number, second: string, secondVersion: string,
  secondSlots: number
) {
  this.targets = [createTarget(first, firstVersion, firstSlots), createTarget(second, secondVersion, secondSlots)]
  this.others = []
})

Given(/^items "(\w+)" of (any version|version "\w+") due in (\d+) ms and "(\w+)" of (any version|version "\w+") due in (\d+) ms$/, function (
  this: VersionWorld, first: string, firstNeed: string, firstDue: string, second: string, secondNeed: string,
  secondDue: string
) {
  this.own = [[first, firstNeed, firstDue], [second, secondNeed, secondDue]].map(([job, need, dueAt]) => (
    { job: job!, version: /"(\w+)"/.exec(need!)?.[1], dueAt: Number(dueAt) }
  ))
})

Given('another instance has {int} item(s) of version {string} due in {int} ms', function (
  this: VersionWorld, count: number, version: string, dueAt: number
) {
  this.others = [{ count, version, dueAt }]
})

Then(/^these items start: (.*)$/, function (this: VersionWorld, expected: string) {
  const starts = chooseStarts({ targets: this.targets, own: this.own, others: this.others, liveReserve: 0 })
  assert.equal(starts.map(({ item, target }) => `${item.job} at ${target}`).join(', '), expected)
})

Given('{int} targets of the item\'s version and {int} of other versions', function (
  this: VersionWorld, sameVersion: number, otherVersions: number
) {
  this.input = {
    sameVersion, otherVersions, hasRoom: false, hasOtherRoom: false, waitedMs: 0, dueInMs: 0, wholeMs: 0, restMs: 0
  }
})

Given('room at its version: {word}, elsewhere: {word}', function (this: VersionWorld, room: string, elsewhere: string) {
  this.input.hasRoom = room === 'yes'
  this.input.hasOtherRoom = elsewhere === 'yes'
})

Given('the item has waited for {int} ms, needs {int} of {int} ms and is due in {int} ms', function (
  this: VersionWorld, waitedMs: number, restMs: number, wholeMs: number, dueInMs: number
) {
  Object.assign(this.input, { waitedMs, restMs, wholeMs, dueInMs })
})

Then('the decision is {string}', function (this: VersionWorld, expected: string) {
  const decision = decideItemVersion(this.input, RELAY_RULES.items)
  assert.equal([decision.type, 'reason' in decision ? decision.reason : ''].join(' ').trim(), expected)
})
