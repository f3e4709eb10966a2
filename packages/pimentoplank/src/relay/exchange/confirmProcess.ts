/**
 * Tells whether the process that ended a connection is still there. The end of an unframed body is the end of its
 * connection, and the system of a process that dies ends its connections in the same orderly way.
 */
import type { Clock } from '../../shared'
import type { ProcessState, TargetProtocol } from '../model'
import type { TargetConnection, TargetConnectionPool } from './connectionPool'
import { readState, UnknownProcess } from './readState'

export interface ConfirmProcessOptions {
  address: string
  /** When the process started, as far as known, in milliseconds by its own clock. */
  startedAt: number | undefined
  /** Called with the start that the process tells. */
  onTold: (startedAt: number) => void
  connections: Pick<TargetConnectionPool, 'open' | 'destroy'>
  protocol: Pick<TargetProtocol, 'decodeHead' | 'state'>
  clock: Clock
  signal: AbortSignal
}

/** A process that answers is asked so often; one with many connections resets new ones. */
const MAX_ATTEMPTS = 3
/** Pause before the process is asked again, in milliseconds. */
const RETRY_MS = 50

/**
 * Asks for the state on a connection of its own.
 *
 * @returns what the process tells, nothing if it lives but doesn't tell; undefined unless the same process answers
 */
export async function confirmProcess (options: ConfirmProcessOptions): Promise<ProcessState | undefined> {
  const { address, startedAt, onTold, connections, protocol, clock, signal } = options
  for (let attempt = 1; ; attempt++) {
    const connection: TargetConnection = connections.open(address)
    let hasAnswered = false
    const told = await readState(connection, {
      protocol,
      onHead: () => { hasAnswered = true },
      abort: () => connections.destroy(connection),
      signal
    })
    const isReached = connection.socket !== undefined
    connections.destroy(connection)
    if (told.isOk()) {
      const { startedAt: toldStart } = told.value
      if (toldStart !== undefined) onTold(toldStart)
      return startedAt === undefined || (toldStart ?? startedAt) === startedAt ? told.value : undefined
    }
    // A connection that was established at once and stays open leads to a process that lives, if a silent one.
    const staysOpen = isReached && told.error instanceof UnknownProcess && !signal.aborted
    if (hasAnswered || staysOpen) return {}
    // Nothing listens any more where no connection is established.
    if (!isReached || attempt >= MAX_ATTEMPTS || signal.aborted) return undefined
    await clock.sleep(RETRY_MS, signal)
  }
}
