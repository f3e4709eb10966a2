/** Responses to refused requests. */
import type { Context } from 'hono'
import { toProblemResponse, type Metrics, type RefusalError } from '../../shared'

export interface ProblemDeps {
  metrics: Metrics
}

/** Counts a refusal and builds its response. */
export function refuse (c: Context, deps: ProblemDeps, err: RefusalError): Response {
  deps.metrics.countRefusal(err.reason)
  const { body, headers } = toProblemResponse(err, c.get('requestId'))
  // The rest of an oversized body is never read, so the connection can't be reused.
  if (err.reason === 'bodyTooLarge') headers.connection = 'close'
  return c.body(JSON.stringify(body), body.status as 400, headers)
}
