/** Assigns request ids and authenticates the client account of a request. */
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

/** Assigns each request an id, the caller's own where it is valid, and returns it in the response. */
export function createRequestIds (log: Log): MiddlewareHandler<EntryEnv> {
  return async (c, next) => {
    const callerId = c.req.header('x-request-id') ?? ''
    const requestId = REQUEST_ID.test(callerId) ? callerId : uuid()
    c.set('requestId', requestId)
    c.set('log', log.child({ requestId }))
    c.header('X-Request-Id', requestId)
    await next()
  }
}

/** Refuses requests without a known key, and all requests until the first configuration is loaded. */
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

/** Hashes an account key; release notes contain only the hash. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
