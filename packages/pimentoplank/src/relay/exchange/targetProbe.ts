/** Tests whether a target is reached, without a request. */
import type { Socket } from 'node:net'
import { Client } from 'undici'
import { createConnector, toConnectOptions } from '../../shared'
import type { ProbeOutcome } from '../paths'
import { createResponseReceiver } from './responseReceiver'

export interface TargetProbeOptions {
  /** Timeout for establishing a connection, in milliseconds. */
  connectTimeoutMs: number
  /** IP address from which connections are made; by default the choice of the system. */
  localAddress?: string
  /** Creates the function that establishes connections. */
  connectors?: typeof createConnector
  /** Path of the call by which a target tells its state. */
  statePath: string
}

/** Time for which an established connection may take to bring bytes, in milliseconds. */
const FIRST_BYTES_TIMEOUT_MS = 500

/** Creates the function that asks the target at an address for its state on a connection of its own. */
export function createTargetProbe (
  { connectTimeoutMs, localAddress, connectors = createConnector, statePath }: TargetProbeOptions
): (address: string) => Promise<ProbeOutcome> {
  return async (address) => {
    let isConnected = false
    let hasBytes = false
    const receiver = createResponseReceiver()
    const connect = connectors({
      timeoutMs: connectTimeoutMs,
      localAddress,
      onBytes: () => {
        hasBytes = true
        receiver.fail(new Error('bytes have come'))
      }
    })
    const client = new Client(`http://${address}`, {
      connect: (_options, done) => connect(toConnectOptions(address), (cause, socket) => {
        if (socket == null) return done(cause ?? new Error('no connection'), null)
        isConnected = true
        done(null, socket as Socket)
      })
    })
    let isSilent = false
    const timer = setTimeout(() => {
      isSilent = isConnected
      receiver.fail(new Error('no bytes in time'))
    }, connectTimeoutMs + FIRST_BYTES_TIMEOUT_MS)
    try {
      client.dispatch({ method: 'GET', path: statePath }, receiver.handler)
      await receiver.head()
      return hasBytes ? 'answered' : isSilent ? 'silent' : 'failed'
    } finally {
      clearTimeout(timer)
      client.destroy().catch(() => undefined)
    }
  }
}
