/** Clients for calls about jobs to peers. */
import { createClient, type Client } from '@connectrpc/connect'
import { JobService, type PeerTransports } from '../../shared'

/** Timeout of a call to a peer, in addition to the requested wait, in milliseconds. */
export const PEER_TIMEOUT_MS = 600

/** Returns the client for the peer at an address. */
export type GetJobClient = (address: string) => Client<typeof JobService>

/** Creates the clients of an instance; each is created on first use. */
export function createJobClients (transports: PeerTransports): GetJobClient {
  const clients = new Map<string, Client<typeof JobService>>()
  return (address) => {
    let client = clients.get(address)
    if (client === undefined) {
      client = createClient(JobService, transports.get(address))
      clients.set(address, client)
    }
    return client
  }
}
