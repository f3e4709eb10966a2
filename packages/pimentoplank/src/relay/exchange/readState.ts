/** Asks the process at the other end of a connection for its state. */
import { err, ok, type Result } from 'neverthrow'
import { KIB_BYTES, SECOND_MS } from '../../shared'
import type { AnswerHead, ProcessState, TargetProtocol } from '../model'
import type { TargetConnection } from './connectionPool'
import { createResponseReceiver } from './responseReceiver'

/** Time after which a process that does not tell its state counts as unknown, in milliseconds. */
const STATE_TIMEOUT_MS = SECOND_MS
/** Maximum size of a state, in bytes. */
const MAX_STATE_BYTES = 64 * KIB_BYTES
const STATUS_OK = 200

/** A target that responds without telling its state; the connection works. */
export class UnknownProcess extends Error {
  constructor (detail: string) {
    super(detail)
    this.name = 'UnknownProcess'
  }
}

export interface ReadStateOptions {
  protocol: Pick<TargetProtocol, 'decodeHead' | 'state'>
  /** Called with the head of the answer, and what it tells. */
  onHead: (head: AnswerHead, state: ProcessState) => void
  /** Closes the connection. */
  abort: () => void
  signal: AbortSignal
}

/**
 * Asks on a connection that carries no other request.
 *
 * @returns `UnknownProcess` if the process does not tell, another error if the connection failed
 */
export async function readState (
  connection: TargetConnection,
  { protocol, onHead, abort, signal }: ReadStateOptions
): Promise<Result<ProcessState, Error>> {
  const { state } = protocol
  const receiver = createResponseReceiver()
  const stop = (cause: Error): void => {
    abort()
    receiver.fail(cause)
  }
  const onAbort = (): void => stop(new Error('request aborted'))
  const timer = setTimeout(() => stop(new UnknownProcess('the state did not come in time')), STATE_TIMEOUT_MS)
  signal.addEventListener('abort', onAbort)
  try {
    connection.dispatch({ method: 'GET', path: state.path, mark: { sent: false } }, receiver.handler)
    const head = await receiver.head()
    if (head.isErr()) return err(head.error)
    const { status, headers } = head.value
    const body = await readBody(receiver.read)
    if (body.isErr()) return err(body.error)
    const told = status === STATUS_OK ? state.decode(body.value) : {}
    onHead(protocol.decodeHead(status, headers), told)
    return status === STATUS_OK ? ok(told) : err(new UnknownProcess(`the state has status ${status}`))
  } finally {
    clearTimeout(timer)
    signal.removeEventListener('abort', onAbort)
  }
}

async function readBody (read: () => Promise<Result<Uint8Array | undefined, Error>>): Promise<Result<string, Error>> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for (;;) {
    const next = await read()
    if (next.isErr()) return err(next.error)
    if (next.value === undefined) return ok(Buffer.concat(chunks).toString('utf8'))
    bytes += next.value.length
    if (bytes > MAX_STATE_BYTES) return err(new UnknownProcess(`the state is larger than ${MAX_STATE_BYTES} bytes`))
    chunks.push(next.value)
  }
}
