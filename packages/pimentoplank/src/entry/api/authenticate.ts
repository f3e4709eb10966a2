/** Knows the caller account of a request and admits it within the account's limits. */
import { createHash } from 'node:crypto'
import type { MiddlewareHandler } from 'hono'
import { v7 as uuid } from 'uuid'
import { RefusalError, type ConfigView, type Log, type Metrics } from '../../shared'
import type { EntryEnv } from '../context'
import { refuse } from './problems'

const BEARER = /^Bearer +(\S+)$/i
const REQUEST_ID = /^[\w.:-]{1,100}$/

export interface AuthenticateDeps {
  config: ConfigView
  log: Log
  metrics: Metrics
}

/** Gives each request an id, the caller's own where it is usable, and returns it in the answer. */
export function createRequestIds (log: Log): MiddlewareHandler<EntryEnv> {
  return async (c, next) => {
    const given = c.req.header('x-request-id') ?? ''
    const requestId = REQUEST_ID.test(given) ? given : uuid()
    c.set('requestId', requestId)
    c.set('log', log.child({ requestId }))
    c.header('X-Request-Id', requestId)
    await next()
  }
}

/** Refuses requests without a known key, and every request until there is a configuration. */
export function createAuthenticate (deps: AuthenticateDeps): MiddlewareHandler<EntryEnv> {
  return async (c, next) => {
    const snapshot = deps.config.current()
    if (snapshot.sequence === 0) return refuse(c, deps, new RefusalError('starting'))
    const key = BEARER.exec(c.req.header('authorization') ?? '')?.[1]
    const account = key === undefined ? undefined : snapshot.accountsByKeyHash.get(hashKey(key))
    if (account === undefined) return refuse(c, deps, new RefusalError('unauthorized'))
    c.set('account', account)
    c.set('log', c.get('log').child({ account: account.name }))
    await next()
  }
}

/** Hashes an account key as release notes carry it. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
