/** Tells callers of a leaving instance to move on, without cutting any of them off. */
import type { HttpBindings } from '@hono/node-server'
import type { MiddlewareHandler } from 'hono'
import { RefusalError, type Metrics } from '../../shared'
import { refuse } from '../api/problems'
import type { EntryEnv } from '../context'
import type { Stopper } from './stopper'

/** Counts requests in flight, closes connections of a leaving instance after their answers, and refuses late ones. */
export function createLeavingGuard (stopper: Stopper, metrics: Metrics): MiddlewareHandler<EntryEnv> {
  return async (c, next) => {
    const { outgoing } = c.env as unknown as Partial<HttpBindings>
    if (stopper.stage() !== 'serving') c.header('Connection', 'close')
    if (stopper.stage() === 'closed') return refuse(c, { metrics }, new RefusalError('addressMoved'))
    const leave = stopper.enter()
    // The answer is over when its connection has taken all of it, not when its head is ready.
    if (outgoing === undefined) {
      await next()
      return leave()
    }
    outgoing.once('close', leave)
    await next()
    if (stopper.stage() !== 'serving') c.header('Connection', 'close')
  }
}
