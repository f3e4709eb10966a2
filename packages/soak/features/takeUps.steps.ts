import assert from 'node:assert/strict'
import path from 'node:path'
import { Given, Then, When, type IWorld } from '@cucumber/cucumber'
import { buildRevision, playTakeUps, type OwnerFault, type TakeUpsOutcome } from '../src'

interface TakeUpsWorld extends IWorld {
  /** Programs of the first instances. */
  programs?: string[]
  played: TakeUpsOutcome[]
}

const TIMEOUT_MS = 240_000
const FOLDER = 'reports/soak/take-ups'
/** Runs of other plays have lower numbers. */
const FIRST_RUN = 220

Given('{int} of 7 instances run the program of {word}', { timeout: TIMEOUT_MS }, function (
  this: TakeUpsWorld, count: number, commit: string
) {
  const program = path.join(buildRevision(commit), 'pimentoplank-entry.cjs')
  this.programs = Array.from({ length: count }, () => program)
})

When('{int} play(s) of {int} streams are left after one event and taken up at once elsewhere, and their instances {word}', {
  timeout: TIMEOUT_MS
}, async function (this: TakeUpsWorld, plays: number, streams: number, fault: OwnerFault) {
  this.played = []
  for (let seed = 1; seed <= plays; seed++) {
    const { programs } = this
    const folder = `${FOLDER}/${programs === undefined ? fault : 'builds'}-${seed}`
    this.played.push(await playTakeUps({ streams, seed, fault, folder, run: FIRST_RUN + seed, programs }))
  }
  await this.attach(JSON.stringify(this.played))
})

function sum (outcomes: TakeUpsOutcome[], count: (outcome: TakeUpsOutcome) => number): number {
  return outcomes.reduce((total, outcome) => total + count(outcome), 0)
}

Then('at least {int} of the streams had moved to another version before their first event', function (
  this: TakeUpsWorld, least: number
) {
  const moved = sum(this.played, (outcome) => outcome.moved)
  assert.ok(moved >= least, `${moved} had moved`)
})

Then('at least {int} streams went from older to present instances, and {int} the other way round', function (
  this: TakeUpsWorld, toPresent: number, toOlder: number
) {
  const counts = [sum(this.played, (outcome) => outcome.toPresent), sum(this.played, (outcome) => outcome.toOlder)]
  assert.ok(counts[0]! >= toPresent && counts[1]! >= toOlder, `${counts.join(' and ')} did`)
})

Then('no stream that was taken up holds events of both versions', function (this: TakeUpsWorld) {
  assert.deepEqual(this.played.flatMap(({ mixed }) => mixed), [])
})

Then('at least half of the streams that were taken up went on at once', function (this: TakeUpsWorld) {
  const wentOn = sum(this.played, (outcome) => outcome.wentOn)
  const takenUp = sum(this.played, (outcome) => outcome.takenUp)
  assert.ok(wentOn >= takenUp / 2, `${wentOn} of ${takenUp} went on`)
})
