import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { playStandstill, type StandstillOutcome } from '../src'

interface StandstillWorld {
  outcomes: StandstillOutcome[]
}

const TIMEOUT_MS = 180_000
/** Whether streams move depends on the order in which targets are chosen. */
const MIN_MOVED = 6
const MAX_PLAYS = 5

When('streams move to another version while an instance stands still, and are taken up there', {
  timeout: TIMEOUT_MS
}, async function (this: StandstillWorld) {
  this.outcomes = []
  const countMoved = (): number => this.outcomes.reduce((sum, { moved }) => sum + moved, 0)
  while (countMoved() < MIN_MOVED && this.outcomes.length < MAX_PLAYS) {
    this.outcomes.push(await playStandstill({ folder: 'reports/soak/standstill', run: 240 + this.outcomes.length }))
  }
  assert.ok(countMoved() >= MIN_MOVED, `${countMoved()} streams moved`)
})

Then('no stream holds events of both versions', function (this: StandstillWorld) {
  assert.deepEqual(this.outcomes.flatMap(({ mixed }) => mixed), [])
})
