import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { generate } from 'selfsigned'
import {
  createPeerServer, createPeerTransports, DrainResponseSchema, GetStatusResponseSchema, StatusService,
  type PeerSecurity, type PeerServer
} from '.'

interface PeersWorld {
  peerServer?: PeerServer
  peerCall: Promise<string>
}

type Tls = NonNullable<PeerSecurity['tls']>

const SHARED_KEY = 'shared-key-of-the-peers'
const OTHER_KEY = 'another-key-of-a-stranger'
const CALL_TIMEOUT_MS = 5000

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
  const started = await createPeerServer({
    host: '127.0.0.1',
    port: 0,
    security: SECURITY_BY_NAME[security]!,
    routes: (router) => {
      router.service(StatusService, {
        getStatus: () => create(GetStatusResponseSchema, { instance: 'asked' }),
        drain: () => create(DrainResponseSchema)
      })
    }
  })
  this.peerServer = started._unsafeUnwrap()
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
