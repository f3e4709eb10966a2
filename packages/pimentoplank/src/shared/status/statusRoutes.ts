/** Status service, through which operators inspect and drain this process. */
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter } from '@connectrpc/connect'
import type { ConfigView } from '../config'
import type { Metrics } from '../metrics'
import { VERSION } from '../process'
import { DrainResponseSchema, GetStatusResponseSchema, StatusService } from '../rpc'

export interface StatusRoutesOptions {
  /** Instance id. */
  instance: string
  program: string
  metrics: Metrics
  config: ConfigView
  isLeaving: () => boolean
  /** Updates the gauges before they are read. */
  refreshGauges?: () => void
  /** Starts a graceful shutdown, as SIGTERM does; returns immediately. */
  drain: () => void
}

/** Creates a function that registers the status service with a router. */
export function createStatusRoutes (options: StatusRoutesOptions): (router: ConnectRouter) => void {
  const { instance, program, metrics, config } = options
  return (router) => {
    router.service(StatusService, {
      getStatus: () => {
        options.refreshGauges?.()
        const { counters, gauges } = metrics.snapshot()
        return create(GetStatusResponseSchema, {
          instance,
          program,
          version: VERSION,
          configSequence: BigInt(config.current().sequence),
          leaving: options.isLeaving(),
          counters,
          gauges
        })
      },
      drain: () => {
        options.drain()
        return create(DrainResponseSchema)
      }
    })
  }
}
