import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createMemoryBudget, type MemoryAccount, type MemoryBudget } from '.'
import { KIB_BYTES } from '../constants'
import { createInMemoryMetrics, type Metrics } from '../metrics'

interface BudgetWorld {
  now: number
  budget: MemoryBudget
  accounts: Map<string, MemoryAccount>
  results: Map<string, boolean>
  evicted: string[]
  warnings: object[]
  budgetMetrics: Metrics
}

Given('a memory budget of {int} KiB', function (this: BudgetWorld, size: number) {
  this.now = 0
  this.accounts = new Map()
  this.results = new Map()
  this.evicted = []
  this.warnings = []
  this.budgetMetrics = createInMemoryMetrics()
  this.budget = createMemoryBudget({
    totalBytes: size * KIB_BYTES,
    clock: { now: () => this.now },
    metrics: this.budgetMetrics,
    log: { warn: (fields: object) => { this.warnings.push(fields) } } as never
  })
})

function take (world: BudgetWorld, id: string, size: number, isEvictable = true): void {
  const evict = isEvictable ? () => { world.evicted.push(id) } : undefined
  const account = world.accounts.get(id) ?? world.budget.open({ kind: 'test', id, evict })
  world.accounts.set(id, account)
  world.results.set(id, account.resize(size * KIB_BYTES))
}

Given('{int} accounts of {int} KiB each', function (this: BudgetWorld, count: number, size: number) {
  for (let number = 1; number <= count; number++) take(this, `a${number}`, size)
  assert.ok([...this.results.values()].every((isTaken) => isTaken))
})

When('account {string} takes {int} KiB', function (this: BudgetWorld, id: string, size: number) {
  take(this, id, size)
})

When('account {string} takes {int} KiB for good', function (this: BudgetWorld, id: string, size: number) {
  take(this, id, size, false)
})

When('account {string} is charged with {int} KiB', function (this: BudgetWorld, id: string, size: number) {
  this.budget.open({ kind: 'test', id }).charge(size * KIB_BYTES)
})

Given('account {string} cannot be evicted', function (this: BudgetWorld, id: string) {
  this.accounts.get(id)!.setEvict(undefined)
})

When('account {string} can be evicted', function (this: BudgetWorld, id: string) {
  this.accounts.get(id)!.setEvict(() => { this.evicted.push(id) })
})

When('account {string} is closed', function (this: BudgetWorld, id: string) {
  this.accounts.get(id)!.close()
})

When('{int} ms pass for the budget', function (this: BudgetWorld, ms: number) {
  this.now += ms
})

When(/^all accounts but (.*) make progress$/, function (this: BudgetWorld, names: string) {
  for (const [id, account] of this.accounts) if (!names.includes(`"${id}"`)) account.recordProgress()
})

Then('account {string} is refused', function (this: BudgetWorld, id: string) {
  assert.equal(this.results.get(id), false)
})

Then('account {string} has its memory', function (this: BudgetWorld, id: string) {
  assert.equal(this.results.get(id), true)
})

Then('account {string} was evicted', function (this: BudgetWorld, id: string) {
  assert.ok(this.evicted.includes(id), this.evicted.join())
})

Then('no account was evicted', function (this: BudgetWorld) {
  assert.deepEqual(this.evicted, [])
})

Then('{int} account(s) was/were evicted, with {int} log line(s) and a count of {int}', function (
  this: BudgetWorld, accounts: number, lines: number, count: number
) {
  assert.equal(this.evicted.length, accounts)
  assert.equal(this.warnings.length, lines)
  assert.equal(this.budgetMetrics.snapshot().counters['memory.evicted'], count)
})

Then('{int} KiB of the budget are in use', function (this: BudgetWorld, size: number) {
  assert.equal(this.budget.usedBytes(), size * KIB_BYTES)
})
