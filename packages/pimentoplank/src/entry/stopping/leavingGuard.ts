/** Moves callers of a leaving instance to others without interrupting their requests. */
import type { HttpBindings } from '@hono/node-server'
import type { MiddlewareHandler } from 'hono'
import { RefusalError, type Metrics } from '../../shared'
import { refuse } from '../api/problems'
import type { EntryEnv } from '../context'
import type { ShutdownController } from './shutdownController'

/**
 * Creates middleware that counts requests in flight. While the instance leaves, it closes each connection after its
 * response; once the shutdown stage is `closed`, it refuses new requests.
 */
export function createLeavingGuard (
  shutdownController: ShutdownController,
  metrics: Metrics
): MiddlewareHandler<EntryEnv> {
  return async (c, next) => {
    const { outgoing } = c.env as unknown as Partial<HttpBindings>
    if (shutdownController.getStage() !== 'serving') c.header('Connection', 'close')
    if (shutdownController.getStage() === 'closed') return refuse(c, { metrics }, new RefusalError('addressMoved'))
    const onEnd = shutdownController.trackRequest()
    // The request ends when its response has been written completely, not when the headers are ready.
    if (outgoing === undefined) {
      await next()
      return onEnd()
    }
    outgoing.once('close', onEnd)
    await next()
    if (shutdownController.getStage() !== 'serving') c.header('Connection', 'close')
  }
}
