/** HTTP server for a Hono application. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAdaptorServer } from '@hono/node-server'
import type { Hono } from 'hono'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'

export interface HttpServer {
  /** IP address and port that the server listens on. */
  address: string
  server: Server
  /** Stops listening and closes open connections. */
  close: () => Promise<void>
}

/**
 * Serves an application; fails when the address can't be bound.
 *
 * @param app - the application
 * @param listen - IP address and port; port 0 selects a free one
 */
export function serveHttp (
  app: { fetch: Hono['fetch'] },
  listen: { host: string, port: number }
): ResultAsync<HttpServer, Error> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server
  const listening = new Promise<Error | undefined>((resolve) => {
    server.once('error', (cause) => resolve(cause))
    server.listen(listen.port, listen.host, () => resolve(undefined))
  })
  return ResultAsync.fromSafePromise(listening).andThen((failure) => {
    if (failure !== undefined) return errAsync(failure)
    const { port } = server.address() as AddressInfo
    return okAsync({
      address: `${listen.host}:${port}`,
      server,
      close: async () => await closeServer(server)
    })
  })
}

async function closeServer (server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()))
  server.closeAllConnections()
  await closed
}
