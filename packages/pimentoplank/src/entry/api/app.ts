/** The caller API of an entry instance. */
import { Hono } from 'hono'
import { RefusalError } from '../../shared'
import type { EntryEnv } from '../context'
import type { Directory } from '../directory'
import { createLiveRoutes, type LiveRouteDeps } from '../live'
import { createServiceRoutes, type ServiceRouteDeps } from '../services'
import { createLeavingGuard, type ShutdownController } from '../stopping'
import { createAuthenticate, createRequestIds } from './authenticate'
import { refuse } from './problems'

export interface CallerApiDeps extends LiveRouteDeps, ServiceRouteDeps {
  directory: Directory
  shutdown: ShutdownController
  /** Further routes behind authentication, such as those of batch jobs. */
  extraRoutes?: Hono<EntryEnv>
}

/** Creates the application that serves callers. */
export function createCallerApi (deps: CallerApiDeps): Hono<EntryEnv> {
  const { config, directory, log, metrics, shutdown } = deps
  const app = new Hono<EntryEnv>()
  app.use(createRequestIds(log))
  app.get('/healthz', (c) => c.json({
    state: config.current().sequence === 0 ? 'starting' : shutdown.getStage()
  }))
  app.use(createLeavingGuard(shutdown, metrics))
  app.use(createAuthenticate({ config, log, metrics }))
  app.get('/v1/instances', (c) => {
    const res = directory.list(c.get('account').name, c.req.query('failureDomain'))
    c.header('Cache-Control', `private, max-age=${Math.floor(res.maxAgeMs / 1000)}`)
    return c.json(res)
  })
  app.route('/', createLiveRoutes(deps))
  app.route('/', createServiceRoutes(deps))
  if (deps.extraRoutes !== undefined) app.route('/', deps.extraRoutes)
  app.notFound((c) => refuse(c, deps, new RefusalError('notFound')))
  app.onError((cause, c) => {
    // Only a violated invariant throws; failures of requests are returned as values.
    c.get('log').error({ err: cause }, 'unexpected error in request handler')
    return refuse(c, deps, new RefusalError('targetFailed', { outcome: 'unknown', detail: 'internal error' }))
  })
  return app
}
