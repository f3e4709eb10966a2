import assert from 'node:assert/strict'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import type { InstanceRecord } from '../platform'
import { MemberSchema } from '../rpc'
import { decodeMembers, encodeMember } from './codec'
import { createNoticeTable, NOTICE_TTL_MS, type NoticeTable } from './memberNotices'

const SECOND = 1000

interface NoticesWorld {
  noticeClock: ManualClock
  table: NoticeTable
  peerTable: NoticeTable
  member: InstanceRecord
}

function addNotice (world: NoticesWorld, leaving: boolean, incarnation: number): void {
  const { id, address } = world.member
  world.table.add({ id, leaving, incarnation, address: incarnation === 0 ? address : '', ttlMs: NOTICE_TTL_MS })
}

Given('a member {string} at {string} in a list that is out of date', function (this: NoticesWorld, id: string, address: string) {
  this.noticeClock = createManualClock()
  this.table = createNoticeTable(this.noticeClock)
  this.peerTable = createNoticeTable(this.noticeClock)
  this.member = { id, role: 'engine', service: 'desk-lm', address, failureDomain: 'a', region: 'r', state: 'live' }
})

When('a leaving notice for it is added', function (this: NoticesWorld) {
  addNotice(this, true, 0)
})

When(/^its process (\d+) says that it (leaves|is there)$/, function (this: NoticesWorld, process: string, what: string) {
  addNotice(this, what === 'leaves', Number(process))
})

When('{int} s pass with the list unchanged', async function (this: NoticesWorld, seconds: number) {
  for (let passed = 0; passed < seconds; passed++) {
    await this.noticeClock.advance(SECOND)
    this.table.reconcile([this.member])
  }
})

When('the list shows the member at {string}', function (this: NoticesWorld, address: string) {
  this.member = { ...this.member, address }
  this.table.reconcile([this.member])
})

When('the list lacks the member for {int} s and then shows it live', async function (this: NoticesWorld, seconds: number) {
  this.table.reconcile([])
  await this.noticeClock.advance(seconds * SECOND)
  this.table.reconcile([this.member])
})

When('the notice is exchanged with a peer every {int} s for {int} s',
  async function (this: NoticesWorld, every: number, seconds: number) {
    for (let passed = 0; passed < seconds; passed += every) {
      for (const known of this.table.list()) this.peerTable.add(known)
      // Messages carry the remaining lifetime as of sending, and are received later.
      const late = this.peerTable.list()
      await this.noticeClock.advance(Math.min(every, seconds - passed) * SECOND)
      for (const known of late) this.table.add(known)
    }
  })

Then(/^the member gets (no new work|new work)$/, function (this: NoticesWorld, what: string) {
  assert.equal(this.table.isLeaving(this.member), what === 'no new work')
})

When('its list entry with software version {string} is sent to a peer', function (this: NoticesWorld, version: string) {
  const sent = toBinary(MemberSchema, encodeMember({ ...this.member, softwareVersion: version }))
  this.member = decodeMembers([fromBinary(MemberSchema, sent)])[0]!
})

Then('the peer knows its software version {string}', function (this: NoticesWorld, version: string) {
  assert.equal(this.member.softwareVersion, version)
})
