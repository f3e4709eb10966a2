/** What a process needs to prove itself to its peers and to check them. */
import { readFile } from 'node:fs/promises'
import { ResultAsync } from 'neverthrow'
import type { CommonSettings } from '../settings'

/** Header that carries the shared key between processes. */
export const PEER_KEY_HEADER = 'x-pimentoplank-peer-key'

export interface PeerSecurity {
  sharedKey: string
  /** Present where mutual TLS is set. */
  tls?: { cert: Buffer, key: Buffer, ca: Buffer }
}

/** Reads the certificates that the settings name. */
export function loadPeerSecurity (settings: CommonSettings['peers']): ResultAsync<PeerSecurity, Error> {
  return ResultAsync.fromPromise(readSecurity(settings), (cause) => cause as Error)
}

async function readSecurity (settings: CommonSettings['peers']): Promise<PeerSecurity> {
  if (settings.tls === undefined) return { sharedKey: settings.sharedKey }
  const { certFile, keyFile, caFile } = settings.tls
  const [cert, key, ca] = await Promise.all([readFile(certFile), readFile(keyFile), readFile(caFile)])
  return { sharedKey: settings.sharedKey, tls: { cert, key, ca } }
}
