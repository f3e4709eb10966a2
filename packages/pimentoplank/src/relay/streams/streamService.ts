/** Serves RPC requests of peers about streams. */
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter } from '@connectrpc/connect'
import { FindVersionResponseSchema, StreamService, type Clock } from '../../shared'
import type { StreamVersions } from './streamVersions'

export interface StreamServiceOptions {
  streamVersions: StreamVersions
  clock: Clock
}

/** Creates a function that registers the service with a router. */
export function createStreamService (
  { streamVersions, clock }: StreamServiceOptions
): (router: ConnectRouter) => void {
  return (router) => {
    router.service(StreamService, {
      findVersion: ({ attempt }) => {
        const stream = streamVersions.find(attempt)
        if (stream === undefined) return create(FindVersionResponseSchema, { known: false })
        const keepMs = Math.max(0, Math.round(stream.keepUntil - clock.now()))
        const { version, service } = stream
        return create(FindVersionResponseSchema, { known: true, version, service, keepMs, begun: true })
      }
    })
  }
}
