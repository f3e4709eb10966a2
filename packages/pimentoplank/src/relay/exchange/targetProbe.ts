/** Tests whether a target is reached, without a request. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Client } from 'undici'
import type { ProbeOutcome } from '../paths'
import { createResponseReceiver } from './responseReceiver'

export interface TargetProbeOptions {
  /** Opens a connection. */
  connect: (options: {
    address: string
    /** Called when bytes arrive, where that is seen before an answer. */
    onBytes: () => void
    done: (cause: Error | null, socket?: Duplex | null) => void
  }) => void
  /** Path of the call by which a target tells its state. */
  statePath: string
}

/** Time for which a test takes at most, in milliseconds. */
const PROBE_TIMEOUT_MS = 750

/** Creates the function that asks the target at an address for its state on a connection of its own. */
export function createTargetProbe (
  { connect, statePath }: TargetProbeOptions
): (address: string) => Promise<ProbeOutcome> {
  return async (address) => {
    let isConnected = false
    let hasBytes = false
    let isLate = false
    const receiver = createResponseReceiver()
    const onBytes = (): void => {
      hasBytes = true
      receiver.fail(new Error('bytes have come'))
    }
    const client = new Client(`http://${address}`, {
      connect: (_options, done) => connect({
        address,
        onBytes,
        done: (cause, socket) => {
          if (socket == null) return done(cause ?? new Error('no connection'), null)
          isConnected = true
          done(null, socket as Socket)
        }
      })
    })
    const timer = setTimeout(() => {
      isLate = true
      receiver.fail(new Error('no bytes in time'))
    }, PROBE_TIMEOUT_MS)
    try {
      client.dispatch({ method: 'GET', path: statePath }, receiver.handler)
      const head = await receiver.head()
      if (hasBytes || head.isOk()) return 'answered'
      return isLate && isConnected ? 'silent' : 'failed'
    } finally {
      clearTimeout(timer)
      client.destroy().catch(() => undefined)
    }
  }
}
