/** Connection pool of an instance that needs no peers to reach targets. */
import { err, ok } from 'neverthrow'
import {
  createDirectConnector, createTargetConnectionPool, type TargetConnectionPool
} from '../../src/relay/exchange'
import { createDirectPaths } from '../../src/relay/paths'
import type { Clock, Metrics } from '../../src/shared'

export interface DirectPoolOptions {
  /** In milliseconds. */
  connectTimeoutMs: number
  /** In milliseconds. */
  idleTimeoutMs: number
  clock: Clock
  metrics: Metrics
}

export function createDirectPool (
  { connectTimeoutMs, idleTimeoutMs, clock, metrics }: DirectPoolOptions
): TargetConnectionPool {
  const paths = createDirectPaths()
  const connectDirect = createDirectConnector({ timeoutMs: connectTimeoutMs, observer: paths })
  return createTargetConnectionPool({
    settings: { idleTimeoutMs },
    connect: ({ address }, done) => connectDirect(address, (cause, socket) => {
      done(socket == null ? err(cause ?? new Error('no socket')) : ok({ socket }))
    }),
    paths,
    clock,
    metrics
  })
}
