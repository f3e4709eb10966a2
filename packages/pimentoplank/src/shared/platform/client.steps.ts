import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import { createServer as createSocketServer, type AddressInfo, type Server as SocketServer, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createPlatformClient, PlatformUnavailable, type InstanceRecord, type PlatformClient, type PlatformError } from '.'

interface ClientWorld {
  endless: SocketServer
  endlessSockets: Socket[]
  /** Results of the calls on the endless platform: true for those that failed. */
  haveFailed: boolean[]
  oddPlatform: Server
  oddClient: PlatformClient
  listed: InstanceRecord[]
  writeFailure: PlatformError
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

const OK_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
const CHUNK_BYTES = 0x4000
const MIB_BYTES = 1024 * 1024
const ENDLESS: Record<string, { first: string, repeated: string }> = {
  'a body': { first: `${OK_HEAD}\r\n{"name":"`, repeated: 'x' },
  'a chunked body': {
    first: `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`, repeated: `4000\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`
  },
  'a header line': { first: `${OK_HEAD}X-Long: `, repeated: 'x' },
  'header lines': { first: OK_HEAD, repeated: 'X-Line: value\r\n' },
  'interim answers': { first: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' }
}

Given(/^a platform that sends (.+) without end$/, async function (this: ClientWorld, what: string) {
  const { first, repeated } = ENDLESS[what]!
  const block = repeated.repeat(Math.ceil(CHUNK_BYTES / repeated.length))
  this.endlessSockets = []
  this.endless = createSocketServer((socket) => {
    this.endlessSockets.push(socket)
    const send = (): void => { while (!socket.destroyed && socket.write(block)); }
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write(first)
      socket.on('drain', send)
      send()
    })
    socket.resume()
  })
  await new Promise<void>((resolve) => this.endless.listen(0, '127.0.0.1', resolve))
  const { port } = this.endless.address() as AddressInfo
  this.oddClient = createPlatformClient({ url: `http://127.0.0.1:${port}` })
})

When('an object is read and written', async function (this: ClientWorld) {
  const read = await this.oddClient.get('kind', 'name')
  const written = await this.oddClient.put('kind', 'name', {}, { ifRevision: 0 })
  this.haveFailed = [read.isErr(), written.isErr()]
})

Then('both calls fail, and at most {int} MiB were sent for each connection', function (this: ClientWorld, mib: number) {
  assert.deepEqual(this.haveFailed, [true, true])
  assert.ok(this.endlessSockets.length > 0)
  for (const { bytesWritten } of this.endlessSockets) {
    assert.ok(bytesWritten <= mib * MIB_BYTES, `${Math.round(bytesWritten / MIB_BYTES)} MiB were sent`)
  }
})

Given('a platform whose answers to writes end after their heads', async function (this: ClientWorld) {
  this.endlessSockets = []
  this.endless = createSocketServer((socket) => {
    this.endlessSockets.push(socket)
    socket.on('error', () => undefined)
    socket.once('data', () => { socket.end(`${OK_HEAD}\r\n`) })
  })
  await new Promise<void>((resolve) => this.endless.listen(0, '127.0.0.1', resolve))
  const { port } = this.endless.address() as AddressInfo
  this.oddClient = createPlatformClient({ url: `http://127.0.0.1:${port}` })
})

When('an object is written', async function (this: ClientWorld) {
  this.writeFailure = (await this.oddClient.put('kind', 'name', {}, { ifRevision: 0 }))._unsafeUnwrapErr()
})

Then('the write may have been carried out', function (this: ClientWorld) {
  assert.ok(this.writeFailure instanceof PlatformUnavailable)
  assert.equal(this.writeFailure.maybeApplied, true)
})

After(async function (this: Partial<ClientWorld>) {
  await this.oddClient?.close()
  this.endlessSockets?.forEach((socket) => socket.destroy())
  this.endless?.close()
  this.oddPlatform?.close()
})
