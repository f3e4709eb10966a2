import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSilentLog, createSystemClock } from '../../shared'
import { createJobRegistry, type JobRegistry, type StateSource } from './jobRegistry'

interface RegistryWorld {
  registries: Map<string, JobRegistry>
}

const NOTICE_MS = 5000

Given('instances {string} and {string} that tell each other of jobs', function (
  this: RegistryWorld, first: string, second: string
) {
  this.registries = new Map([first, second].map((self) => [self, createJobRegistry({
    self, noticeMs: NOTICE_MS, onNotice: () => undefined, clock: createSystemClock(), log: createSilentLog()
  })]))
})

function learn (world: RegistryWorld, owner: string, job: string, source: StateSource): void {
  world.registries.get(owner)!.update(job, { owner, epoch: 1, ended: false }, source)
}

When('{string} reads a record of job {string} that names it as the owner', function (
  this: RegistryWorld, owner: string, job: string
) {
  learn(this, owner, job, 'record')
})

When('{string} hears from a peer that it owns job {string}', function (
  this: RegistryWorld, owner: string, job: string
) {
  learn(this, owner, job, 'peer')
})

When('{string} hears what {string} tells', function (this: RegistryWorld, hearer: string, teller: string) {
  for (const { job, ...state } of this.registries.get(teller)!.getNotices()) {
    this.registries.get(hearer)!.update(job, state, 'peer')
  }
})

Then(/^(neither|both) of them takes? "(.*)" for accepted$/, function (this: RegistryWorld, who: string, job: string) {
  const accepted = [...this.registries.values()].map((registry) => registry.isAccepted(job))
  assert.deepEqual(accepted, accepted.map(() => who === 'both'))
})
