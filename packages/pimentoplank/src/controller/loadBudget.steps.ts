import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../features/support/manualClock'
import { createLoadBudget, type LoadBudget } from './loadBudget'

const LOOK_EVERY_MS = 100

interface BudgetWorld {
  budgetClock: ManualClock
  budget: LoadBudget
  startedAt: number[]
}

Given('a load budget of {int} MB a second', function (this: BudgetWorld, rate: number) {
  this.budgetClock = createManualClock()
  this.budget = createLoadBudget(this.budgetClock, rate)
})

When('loads of {int}, {int}, {int} and {int} MB wait for it one after the other',
  async function (this: BudgetWorld, a: number, b: number, c: number, d: number) {
    this.startedAt = []
    for (const megabytes of [a, b, c, d]) {
      while (!this.budget.take(megabytes)) await this.budgetClock.advance(LOOK_EVERY_MS)
      this.startedAt.push(this.budgetClock.now())
    }
  })

Then('the load budget lets them go after {int}, {int}, {int} and {int} ms',
  function (this: BudgetWorld, a: number, b: number, c: number, d: number) {
    assert.deepEqual(this.startedAt, [a, b, c, d])
  })
