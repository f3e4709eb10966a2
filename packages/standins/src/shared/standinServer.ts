/** HTTP server of a stand-in, which can be restarted at the same address. */
import type { Socket } from 'node:net'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context, Hono } from 'hono'
import { serveHttp, type HttpServer } from 'pimentoplank/shared'

export interface StandinEnv {
  Bindings: HttpBindings
}

export interface ListenOptions {
  /** IP address to listen on; 127.0.0.1 by default. */
  host?: string
  /** TCP port; 0, the default, picks a free one. */
  port?: number
}

/** A running stand-in: its address, and how to stop it. */
export interface StandinServer {
  /** IP address and port. */
  address: string
  url: string
  /** Stops listening and closes open connections. */
  close: () => Promise<void>
}

export interface RestartableServer {
  start: () => Promise<StandinServer>
  close: () => Promise<void>
  /** Returns the address of the last start; throws before the first start. */
  getAddress: () => string
  /** Returns the sockets currently open. */
  getSockets: () => ReadonlySet<Socket>
}

/** Creates a server that listens on the same port after each restart. */
export function createRestartableServer (app: Hono<StandinEnv>, options: ListenOptions): RestartableServer {
  const host = options.host ?? '127.0.0.1'
  const sockets = new Set<Socket>()
  let port = options.port ?? 0
  let server: HttpServer | undefined
  let lastAddress: string | undefined

  async function start (): Promise<StandinServer> {
    const started = await serveHttp({ fetch: app.fetch as Hono['fetch'] }, { host, port })
    if (started.isErr()) throw started.error
    server = started.value
    lastAddress = server.address
    port = Number(lastAddress.slice(lastAddress.lastIndexOf(':') + 1))
    server.server.on('connection', (socket: Socket) => {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
    })
    return { address: lastAddress, url: `http://${lastAddress}`, close }
  }

  async function close (): Promise<void> {
    const open = server
    server = undefined
    if (open === undefined) return
    for (const socket of sockets) socket.destroy()
    await open.close()
  }

  function readAddress (): string {
    if (lastAddress === undefined) throw new Error('the stand-in has no address before its first start')
    return lastAddress
  }

  return { start, close, getAddress: readAddress, getSockets: () => sockets }
}

/** Closes the connection of a request without a response. */
export function dropConnection (c: Context<StandinEnv>): Response {
  c.env.incoming.socket.destroy()
  return RESPONSE_ALREADY_SENT
}

/** Never resolves, so that a request gets no response while its connection stays open. */
export async function neverRespond (): Promise<never> {
  return await new Promise<never>(() => undefined)
}
