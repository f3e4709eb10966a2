import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createPlatformClient, type InstanceRecord, type PlatformClient } from '.'

interface ClientWorld {
  oddPlatform: Server
  oddClient: PlatformClient
  listed: InstanceRecord[]
}

const LEVELS = 100_000

function recordText (id: string, change: object = {}): string {
  const record = { id, role: 'engine', address: '10.0.0.1:80', failureDomain: 'a', region: 'r', state: 'live', ...change }
  return JSON.stringify(record)
}

const ODD_RECORDS: Record<string, string> = {
  'an unknown role': recordText('odd', { role: 'strange' }),
  'no address': recordText('odd', { address: undefined }),
  'a number as its id': recordText('odd', { id: 7 }),
  '100000 levels of lists': `${'['.repeat(LEVELS)}${']'.repeat(LEVELS)}`
}

Given(/^a platform whose instance list has a record with (.+) among 2 sound ones$/, async function (
  this: ClientWorld, oddity: string
) {
  const records = [recordText('first'), ODD_RECORDS[oddity], recordText('last')]
  this.oddPlatform = createServer((_req, res) => { res.end(`{"instances":[${records.join(',')}]}`) })
  await new Promise<void>((resolve) => this.oddPlatform.listen(0, '127.0.0.1', resolve))
  const { port } = this.oddPlatform.address() as AddressInfo
  this.oddClient = createPlatformClient({ url: `http://127.0.0.1:${port}` })
})

When('the instance list is read', async function (this: ClientWorld) {
  this.listed = (await this.oddClient.listInstances())._unsafeUnwrap()
})

Then('it has the 2 sound records only', function (this: ClientWorld) {
  assert.deepEqual(this.listed.map(({ id }) => id), ['first', 'last'])
})

After(async function (this: Partial<ClientWorld>) {
  await this.oddClient?.close()
  this.oddPlatform?.close()
})
