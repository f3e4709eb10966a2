/** Credentials for mutual authentication between peers. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { ResultAsync } from 'neverthrow'
import type { CommonSettings } from '../settings'

/** Request header with the shared key of the peers. */
export const PEER_KEY_HEADER = 'x-pimentoplank-peer-key'

export interface PeerSecurity {
  sharedKey: string
  /** Present when mutual TLS is configured. */
  tls?: { cert: Buffer, key: Buffer, ca: Buffer }
}

/** Reads the certificates configured in the settings. */
export function loadPeerSecurity (settings: CommonSettings['peers']): ResultAsync<PeerSecurity, Error> {
  return ResultAsync.fromPromise(readSecurity(settings), (cause) => cause as Error)
}

async function readSecurity (settings: CommonSettings['peers']): Promise<PeerSecurity> {
  if (settings.tls === undefined) return { sharedKey: settings.sharedKey }
  const { certFile, keyFile, caFile } = settings.tls
  const [cert, key, ca] = await Promise.all([readFile(certFile), readFile(keyFile), readFile(caFile)])
  return { sharedKey: settings.sharedKey, tls: { cert, key, ca } }
}

/** Creates a function that tells whether a received key is the shared one, in constant time. */
export function createKeyCheck (sharedKey: string): (received: string | undefined) => boolean {
  const expected = digest(sharedKey)
  return (received) => timingSafeEqual(digest(received ?? ''), expected)
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
