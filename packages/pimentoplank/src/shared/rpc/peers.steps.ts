import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, type IncomingHttpHeaders, type IncomingHttpStatusHeader } from 'node:http2'
import { createConnection, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { generate } from 'selfsigned'
import { KIB_BYTES } from '../constants'
import {
  createPeerServer, createPeerTransports, DrainResponseSchema, GetStatusResponseSchema, StatusService,
  type PeerSecurity, type PeerServer, type PeerServerOptions
} from '.'
import { PEER_KEY_HEADER } from './peerSecurity'

interface PeersWorld {
  peerServer?: PeerServer
  peerCall: Promise<string>
  messageStatus: number
  connections: Socket[]
}

type Tls = NonNullable<PeerSecurity['tls']>

const SHARED_KEY = 'shared-key-of-the-peers'
const OTHER_KEY = 'another-key-of-a-stranger'
const CALL_TIMEOUT_MS = 5000
const SETTLE_MS = 100
const STATUS_TOO_LARGE = 429
/** Field 15 of a message, of a type that is skipped: a length in two bytes follows. */
const UNKNOWN_FIELD = 0x7a

/** Creates a self-signed certificate that is its own certificate authority. */
function createCertificate (): Tls {
  const { cert, private: key } = generate([{ name: 'commonName', value: 'peer' }], {
    keySize: 2048, algorithm: 'sha256'
  })
  return { cert: Buffer.from(cert), key: Buffer.from(key), ca: Buffer.from(cert) }
}

const KNOWN = createCertificate()
const UNKNOWN = { ...createCertificate(), ca: KNOWN.ca }

const SECURITY_BY_NAME: Record<string, PeerSecurity> = {
  'a shared key': { sharedKey: SHARED_KEY },
  certificates: { sharedKey: SHARED_KEY, tls: KNOWN },
  'the shared key': { sharedKey: SHARED_KEY },
  'another key': { sharedKey: OTHER_KEY },
  'the shared key and a known certificate': { sharedKey: SHARED_KEY, tls: KNOWN },
  'another key and a known certificate': { sharedKey: OTHER_KEY, tls: KNOWN },
  'the shared key and a certificate of a stranger': { sharedKey: SHARED_KEY, tls: UNKNOWN }
}

Given(/^a peer server with (a shared key|certificates)$/, async function (this: PeersWorld, security: string) {
  await start(this, { security: SECURITY_BY_NAME[security]! })
})

async function start (world: PeersWorld, options: Pick<PeerServerOptions, 'security' | 'maxMessageBytes' | 'maxConnections'>): Promise<void> {
  const started = await createPeerServer({
    ...options,
    host: '127.0.0.1',
    port: 0,
    routes: (router) => {
      router.service(StatusService, {
        getStatus: () => create(GetStatusResponseSchema, { instance: 'asked' }),
        drain: () => create(DrainResponseSchema)
      })
    }
  })
  world.peerServer = started._unsafeUnwrap()
}

Given('a peer server with messages of at most {int} KiB, and {int} connections', async function (
  this: PeersWorld, size: number, maxConnections: number
) {
  await start(this, {
    security: SECURITY_BY_NAME['a shared key']!, maxMessageBytes: size * KIB_BYTES, maxConnections
  })
})

/** Creates a message of fields that the service doesn't know. */
function createMessage (bytes: number): Buffer {
  const field = Buffer.alloc(KIB_BYTES, 0)
  const contentBytes = KIB_BYTES - 3
  field.set([UNKNOWN_FIELD, (contentBytes & 0x7f) | 0x80, contentBytes >> 7])
  return Buffer.concat(Array<Buffer>(bytes / KIB_BYTES).fill(field))
}

When('a message of {int} KiB is sent to it', async function (this: PeersWorld, size: number) {
  const session = connect(`http://${this.peerServer!.address}`)
  const stream = session.request({
    ':method': 'POST',
    ':path': `/${StatusService.typeName}/GetStatus`,
    'content-type': 'application/proto',
    'connect-protocol-version': '1',
    [PEER_KEY_HEADER]: SHARED_KEY
  })
  stream.end(createMessage(size * KIB_BYTES))
  const [headers] = await once(stream, 'response') as [IncomingHttpHeaders & IncomingHttpStatusHeader]
  this.messageStatus = headers[':status']!
  session.destroy()
})

Then(/^the message is (read|refused)$/, function (this: PeersWorld, outcome: string) {
  assert.equal(this.messageStatus, outcome === 'read' ? 200 : STATUS_TOO_LARGE)
})

When('{int} connections are opened to it one after the other', async function (this: PeersWorld, count: number) {
  const [host, port] = this.peerServer!.address.split(':')
  this.connections = []
  for (let index = 0; index < count; index++) {
    const socket = createConnection({ host, port: Number(port) })
    this.connections.push(socket.resume())
    await once(socket, 'connect')
  }
  await pause(SETTLE_MS)
})

Then('the first {int} are open, and the others are closed', function (this: PeersWorld, count: number) {
  assert.deepEqual(this.connections.map(({ readable }) => readable), this.connections.map((_, index) => index < count))
  for (const socket of this.connections) socket.destroy()
})

When(/^a peer with (.+) asks it for its status$/, async function (this: PeersWorld, credentials: string) {
  const transports = createPeerTransports({ security: SECURITY_BY_NAME[credentials]! })
  const client = createClient(StatusService, transports.get(this.peerServer!.address))
  this.peerCall = client.getStatus({}, { timeoutMs: CALL_TIMEOUT_MS }).then(({ instance }) => instance, () => 'refused')
  await this.peerCall
  transports.close()
})

Then(/^the peer call is (answered|refused)$/, async function (this: PeersWorld, answer: string) {
  assert.equal(await this.peerCall, answer === 'answered' ? 'asked' : 'refused')
})

After(async function (this: PeersWorld) {
  await this.peerServer?.close()
})
