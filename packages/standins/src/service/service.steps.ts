import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { request } from 'undici'
import { createPlatformStandin, type PlatformStandin } from '../platform'
import { callJson } from '../shared/testClient'
import { createServiceStandin, type ServiceStandin } from '.'

interface ServiceWorld {
  listingPlatform: PlatformStandin
  platformUrl: string
  service: ServiceStandin
  serviceUrl: string
  status: number | undefined
}

After(async function (this: Partial<ServiceWorld>) {
  await this.service?.close()
  await this.listingPlatform?.close()
})

Given('a service stand-in', async function (this: ServiceWorld) {
  this.service = createServiceStandin()
  this.serviceUrl = (await this.service.start()).url
})

Given('a service stand-in with a platform', async function (this: ServiceWorld) {
  this.listingPlatform = createPlatformStandin()
  this.platformUrl = (await this.listingPlatform.start()).url
  this.service = createServiceStandin({ platform: this.platformUrl, id: 'bookings-1' })
  await this.service.start()
})

Given('the service stand-in drops the next response', function (this: ServiceWorld) {
  this.service.setFaults({ dieAfterRun: 1 })
})

Given('the service stand-in is {string}', function (this: ServiceWorld, state: string) {
  this.service.setFaults(state === 'leaving' ? { leaving: true } : { status: 503 })
})

When('the service stand-in gets a booking with key {string}', async function (this: ServiceWorld, key: string) {
  const headers = { 'idempotency-key': key }
  const call = request(`${this.serviceUrl}/bookings`, { method: 'POST', headers, body: '{}' })
  this.status = await call.then(async (res) => {
    await res.body.dump()
    return res.statusCode
  }, () => undefined)
})

Then('the service stand-in ran {string}', function (this: ServiceWorld, keys: string) {
  assert.equal(this.service.getRuns().map((run) => run.key).join(', '), keys)
})

Then('the service stand-in gave no response', function (this: ServiceWorld) {
  assert.equal(this.status, undefined)
})

Then('the service stand-in responded with {int}', function (this: ServiceWorld, status: number) {
  assert.equal(this.status, status)
})

Then('the platform of the service stand-in lists it', async function (this: ServiceWorld) {
  const reply = await callJson('GET', `${this.platformUrl}/v1/instances`)
  assert.deepEqual((reply.body as { instances: Array<{ id: string }> }).instances.map(({ id }) => id), ['bookings-1'])
})
