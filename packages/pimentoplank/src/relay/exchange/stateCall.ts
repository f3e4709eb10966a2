/** Asks the process at an address for its start, on a connection of its own. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Client } from 'undici'
import { KIB_BYTES, TunnelRefusedError, type PeerTunnels } from '../../shared'
import type { TargetProtocol } from '../model'
import type { DirectConnector } from './targetConnector'

/** Result of one call; `nothing` if no connection to the target was established. */
export type StateAnswer =
  | { type: 'process', startedAt: number | undefined }
  | { type: 'nothing' }
  | { type: 'unclear' }

export interface StateCallOptions {
  connectDirect: DirectConnector
  tunnels: Pick<PeerTunnels, 'open'>
  state: TargetProtocol['state']
}

/** Calls the target at an address, directly or through a peer. */
export type StateCall = (address: string, via?: { instance: string, peerAddress: string }) => Promise<StateAnswer>

/** Time for which a call takes at most, in milliseconds. */
const STATE_CALL_TIMEOUT_MS = 750
/** Maximum size of a state, in bytes. */
const MAX_STATE_BYTES = 64 * KIB_BYTES
const STATUS_OK = 200

/** Creates the call of an instance. */
export function createStateCall ({ connectDirect, tunnels, state }: StateCallOptions): StateCall {
  return async (address, via) => {
    let hasNoTarget = false
    const client = new Client(`http://${address}`, {
      connect: (_options, done) => {
        const finish = (cause: Error | null, socket?: Duplex | null): void => {
          if (socket != null) return done(null, socket as Socket)
          hasNoTarget = via === undefined || (cause instanceof TunnelRefusedError && cause.outcome === 'targetFailed')
          done(cause ?? new Error('no connection'), null)
        }
        if (via === undefined) return connectDirect(address, finish)
        tunnels.open({ ...via, address })
          .then((opened) => opened.match((socket) => finish(null, socket), finish))
          .catch(finish)
      }
    })
    try {
      const signal = AbortSignal.timeout(STATE_CALL_TIMEOUT_MS)
      const { statusCode, body } = await client.request({ method: 'GET', path: state.path, signal })
      const text = await readText(body)
      return { type: 'process', startedAt: statusCode === STATUS_OK ? state.decode(text).startedAt : undefined }
    } catch {
      return { type: hasNoTarget ? 'nothing' : 'unclear' }
    } finally {
      client.destroy().catch(() => undefined)
    }
  }
}

async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > MAX_STATE_BYTES) throw new Error(`the state is larger than ${MAX_STATE_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
