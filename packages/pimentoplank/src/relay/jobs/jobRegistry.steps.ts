import assert from 'node:assert/strict'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { createSilentLog, createSystemClock, DatagramSchema } from '../../shared'
import type { JobOwnership } from '../gossip'
import { decodeDatagram, encodeReport } from '../gossip/datagrams'
import { createJobRegistry, toKnownJob, type JobRegistry } from './jobRegistry'
import type { JobRecord } from './records'

interface RegistryWorld {
  registries: Map<string, JobRegistry>
  /** Notices of an instance of an older build. */
  olderNotices?: JobOwnership[]
}

const NOTICE_MS = 5000
const RECORD: Omit<JobRecord, 'owner'> = {
  route: 'r', host: 'h', epoch: 1, submittedAt: 0, total: 1, inputParts: 1, tokens: 1, ended: false, finished: false
}
const CHANGES: Record<string, Partial<JobRecord>> = {
  ended: { ended: true },
  'taken over': { epoch: 2 },
  'accepted by another instance': { accepted: true },
  finished: { finished: true }
}

Given('instances {string} and {string} that tell each other of jobs', function (
  this: RegistryWorld, first: string, second: string
) {
  this.registries = new Map([first, second].map((self) => [self, createJobRegistry({
    self, noticeMs: NOTICE_MS, onNotice: () => undefined, clock: createSystemClock(), log: createSilentLog()
  })]))
})

function readRecord (world: RegistryWorld, owner: string, job: string, change: Partial<JobRecord> = {}): void {
  world.registries.get(owner)!.update(job, toKnownJob({ ...RECORD, owner, ...change }), 'record')
}

When('{string} reads a record of job {string} that names it as the owner', function (
  this: RegistryWorld, owner: string, job: string
) {
  readRecord(this, owner, job)
})

When(/^"(.*)" reads that job "(.*)" was (ended|taken over|accepted by another instance|finished)$/, function (
  this: RegistryWorld, owner: string, job: string, state: string
) {
  readRecord(this, owner, job, CHANGES[state])
})

When('{string} hears from a peer that it owns job {string}', function (
  this: RegistryWorld, owner: string, job: string
) {
  this.registries.get(owner)!.update(job, { owner, epoch: 1, ended: false, isAccepted: true }, 'peer')
})

When('{string}, which runs an older build, owns job {string} at epoch {int}', function (
  this: RegistryWorld, owner: string, job: string, epoch: number
) {
  this.olderNotices = [{ job, owner, epoch, ended: false, isAccepted: true }]
})

/** Returns the notices as they arrive; those of an older build say nothing of acceptance. */
function receive (instance: string, jobs: readonly JobOwnership[], isOlder: boolean): readonly JobOwnership[] {
  const report = createEmptyReport({ instance, failureDomain: 'x', peerAddress: 'p', jobs })
  const datagram = fromBinary(DatagramSchema, encodeReport(report, 0))
  assert.ok(datagram.content.case === 'report')
  if (isOlder) for (const notice of datagram.content.value.jobs) notice.accepted = false
  const received = decodeDatagram(toBinary(DatagramSchema, datagram), 0)
  assert.ok(received?.type === 'report')
  return received.report.jobs
}

When('{string} hears what {string} tells', function (this: RegistryWorld, hearer: string, teller: string) {
  const { olderNotices } = this
  const told = olderNotices ?? this.registries.get(teller)!.getNotices()
  for (const { job, ...state } of receive(teller, told, olderNotices !== undefined)) {
    this.registries.get(hearer)!.update(job, state, 'peer')
  }
})

Then('{string} tells of no job', function (this: RegistryWorld, teller: string) {
  assert.deepEqual(this.registries.get(teller)!.getNotices(), [])
})

Then('{string} tells that {string} was ended', function (this: RegistryWorld, teller: string, job: string) {
  const told = this.registries.get(teller)!.getNotices().map((notice) => [notice.job, notice.ended])
  assert.deepEqual(told, [[job, true]])
})

Then(/^(neither|both) of them takes? "(.*)" for accepted$/, function (this: RegistryWorld, who: string, job: string) {
  const accepted = [...this.registries.values()].map((registry) => registry.isAccepted(job))
  assert.deepEqual(accepted, accepted.map(() => who === 'both'))
})

Then(/^"(.*)" knows "(.*)" as the owner of "(.*)", and (takes|doesn't take) it for accepted$/, function (
  this: RegistryWorld, hearer: string, owner: string, job: string, decision: string
) {
  const registry = this.registries.get(hearer)!
  assert.equal(registry.getKnown(job)?.owner, owner)
  assert.equal(registry.isAccepted(job), decision === 'takes')
})
