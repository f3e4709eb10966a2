import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import type { InstanceRecord } from '../platform'
import { createSignTable, SIGN_TTL_MS, type SignTable } from './signs'

const SECOND = 1000

interface SignsWorld {
  signClock: ManualClock
  table: SignTable
  peerTable: SignTable
  member: InstanceRecord
}

function sign (world: SignsWorld, leaving: boolean, incarnation: number): void {
  const { id, address } = world.member
  world.table.add({ id, leaving, incarnation, address: incarnation === 0 ? address : '', ttlMs: SIGN_TTL_MS })
}

Given('a member {string} at {string} in a list that lags', function (this: SignsWorld, id: string, address: string) {
  this.signClock = createManualClock()
  this.table = createSignTable(this.signClock)
  this.peerTable = createSignTable(this.signClock)
  this.member = { id, role: 'engine', service: 'desk-lm', address, failureDomain: 'a', region: 'r', state: 'live' }
})

When('it is seen leaving', function (this: SignsWorld) {
  sign(this, true, 0)
})

When(/^its process (\d+) says that it (leaves|is there)$/, function (this: SignsWorld, process: string, what: string) {
  sign(this, what === 'leaves', Number(process))
})

When('{int} s pass with the list unchanged', async function (this: SignsWorld, seconds: number) {
  for (let passed = 0; passed < seconds; passed++) {
    await this.signClock.advance(SECOND)
    this.table.compare([this.member])
  }
})

When('the list shows the member at {string}', function (this: SignsWorld, address: string) {
  this.member = { ...this.member, address }
  this.table.compare([this.member])
})

When('the list shows the member gone for {int} s and then live', async function (this: SignsWorld, seconds: number) {
  this.table.compare([])
  await this.signClock.advance(seconds * SECOND)
  this.table.compare([this.member])
})

When('the sign goes to a peer and back every {int} s for {int} s',
  async function (this: SignsWorld, every: number, seconds: number) {
    for (let passed = 0; passed < seconds; passed += every) {
      for (const known of this.table.list()) this.peerTable.add(known)
      // What is on its way when the time is told arrives a little later.
      const late = this.peerTable.list()
      await this.signClock.advance(Math.min(every, seconds - passed) * SECOND)
      for (const known of late) this.table.add(known)
    }
  })

Then(/^the member gets (no new work|new work)$/, function (this: SignsWorld, what: string) {
  assert.equal(this.table.isLeaving(this.member), what === 'no new work')
})
