import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { PeerView, Report, Stage } from '../gossip'
import { createDirectory, type Directory } from './directory'

interface DirectoryWorld {
  directory: Directory
  cutOff: Set<string>
  stages: Map<string, Stage>
}

const MAX_AGE_MS = 1000

function listNames (first: string, last: string): string[] {
  const start = first.charCodeAt(0)
  return Array.from({ length: last.charCodeAt(0) - start + 1 }, (_, index) => String.fromCharCode(start + index))
}

Given('an instance {string} whose directory knows instances {string} to {string}', function (
  this: DirectoryWorld, self: string, first: string, last: string
) {
  this.cutOff = new Set()
  this.stages = new Map()
  const getPeer = (callerAddress: string): PeerView => {
    const stage = this.stages.get(callerAddress) ?? 'serving'
    const report: Partial<Report> = { callerAddress, failureDomain: 'x', stage, isCutOff: this.cutOff.has(callerAddress) }
    return { report: report as Report, lastReceivedAt: 0 }
  }
  this.directory = createDirectory({
    self: { callerAddress: self, failureDomain: 'x', stage: () => 'serving', isCutOff: () => this.cutOff.has(self) },
    peers: () => listNames(first, last).map(getPeer),
    maxAgeMs: MAX_AGE_MS
  })
})

When('instances {string} to {string} are cut off from targets', function (this: DirectoryWorld, first: string, last: string) {
  for (const name of listNames(first, last)) this.cutOff.add(name)
})

When('instance {string} leaves', function (this: DirectoryWorld, name: string) {
  this.stages.set(name, 'leaving')
})

Then('the directory lists {string}', function (this: DirectoryWorld, names: string) {
  assert.equal(this.directory.list('x').addresses.join(', '), names)
})
