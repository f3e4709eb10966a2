/** Asks the process at the other end of a connection when it started. */
import { err, ok, type Result } from 'neverthrow'
import type { AnswerHead } from '../model'
import type { TargetConnection } from './connectionPool'
import { readState, UnknownProcess, type ReadStateOptions } from './readState'

export interface IdentifyOptions extends Omit<ReadStateOptions, 'onHead'> {
  /** Called with the head of the answer, and when the process started if it tells. */
  onHead: (head: AnswerHead, startedAt: number | undefined) => void
}

/**
 * Asks on a connection that carries no other request.
 *
 * @returns when the process started, in milliseconds by its own clock; `UnknownProcess` if it does not tell, another
 * error if the connection failed
 */
export async function identifyProcess (
  connection: TargetConnection, { onHead, ...options }: IdentifyOptions
): Promise<Result<number, Error>> {
  const told = await readState(connection, { ...options, onHead: (head, { startedAt }) => onHead(head, startedAt) })
  if (told.isErr()) return err(told.error)
  const { startedAt } = told.value
  return startedAt === undefined ? err(new UnknownProcess('the state does not tell the start')) : ok(startedAt)
}
