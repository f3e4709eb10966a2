/** Client of the caller API of entry instances. */
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import { describeCause, SECOND_MS, type Problem } from '../shared'
import { CliError, usageError } from './cliError'
import type { CliSettings } from './settings'

const CALL_TIMEOUT_MS = 10 * SECOND_MS
const HTTP_ERROR = 400

/**
 * Calls the entry instances one after the other until one responds.
 *
 * @returns the JSON body of a successful response; an error for a refusal, or when no instance responded
 */
export async function callEntry<Body> (
  settings: CliSettings,
  method: 'GET' | 'POST',
  path: string
): Promise<Result<Body, CliError>> {
  if (settings.operatorKey === undefined) return err(usageError('operatorKey: required for this command, but not set'))
  if (settings.entries.length === 0) return err(usageError('entries: expected at least one address, got none'))
  const failures: string[] = []
  for (const address of settings.entries) {
    try {
      const res = await request(`http://${address}${path}`, {
        method,
        headers: { authorization: `Bearer ${settings.operatorKey}` },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      const body = await res.body.json()
      if (res.statusCode < HTTP_ERROR) return ok(body as Body)
      return err(new CliError(describeProblem(body as Problem)))
    } catch (cause) {
      failures.push(`${address}: ${describeCause(cause)}`)
    }
  }
  return err(new CliError(`no entry instance responded:\n  ${failures.join('\n  ')}`))
}

function describeProblem (problem: Problem): string {
  return `${problem.status} ${problem.reason}: ${problem.detail}`
}
