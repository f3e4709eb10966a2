/** Answers operators' questions about this process. */
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
  /** Brings the gauges up to date before they are read. */
  refreshGauges?: () => void
  /** Starts to leave, as SIGTERM does; returns at once. */
  drain: () => void
}

/** Creates the registration of the status service. */
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
