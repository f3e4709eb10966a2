/** A TCP connection between two processes that a test can cut or silence. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * What happens to bytes on a link.
 *
 * - `open`: they pass
 * - `silent`: they are dropped, and connections stay open; new connections open and stay silent too
 * - `oldSilent`: as `silent` for the connections open at that moment; new ones work
 * - `cut`: connections are reset, new ones are refused by an immediate reset
 */
export type LinkMode = 'open' | 'silent' | 'oldSilent' | 'cut'

export interface Link {
  /** IP number and port to connect to in place of the far end. */
  address: string
  /** Changes what happens to bytes from now on. */
  set: (mode: LinkMode) => void
  /** Bytes that came from either end so far. */
  bytes: () => number
  close: () => Promise<void>
}

interface Pair {
  near: Socket
  far: Socket
  silent: boolean
}

/**
 * Starts a link.
 *
 * @param to - IP number and port of the far end
 */
export async function createLink (to: string): Promise<Link> {
  const pairs = new Set<Pair>()
  const sockets = new Set<Socket>()
  let mode: LinkMode = 'open'
  let byteCount = 0

  function accept (near: Socket): void {
    if (mode === 'cut') {
      near.resetAndDestroy()
      return
    }
    const far = connect(farEnd(to))
    const pair: Pair = { near, far, silent: mode === 'silent' }
    pairs.add(pair)
    relay(pair, near, far)
    relay(pair, far, near)
  }

  function relay (pair: Pair, from: Socket, into: Socket): void {
    from.on('data', (bytes) => {
      byteCount += bytes.length
      if (pair.silent) return
      if (into.write(bytes)) return
      from.pause()
      into.once('drain', () => from.resume())
    })
    from.on('end', () => {
      if (!pair.silent) into.end()
    })
    sockets.add(from)
    from.on('error', () => undefined)
    from.on('close', () => {
      sockets.delete(from)
      pairs.delete(pair)
      if (!pair.silent) into.destroy()
    })
  }

  const server = createServer({ allowHalfOpen: true }, accept)
  await listen(server)
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    set: (next) => {
      mode = next
      for (const pair of pairs) applyMode(pair, next)
    },
    bytes: () => byteCount,
    close: async () => {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      // The other end of a silent connection stays open after one end is gone.
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}

function farEnd (to: string): { host: string, port: number } {
  const colon = to.lastIndexOf(':')
  return { host: to.slice(0, colon), port: Number(to.slice(colon + 1)) }
}

async function listen (server: Server): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve())
  })
}

function applyMode (pair: Pair, mode: LinkMode): void {
  // A connection that went silent stays so for good, as after a lost entry in a connection table.
  if (mode === 'silent' || mode === 'oldSilent') pair.silent = true
  if (mode === 'cut') destroyPair(pair)
}

function destroyPair (pair: Pair): void {
  pair.near.resetAndDestroy()
  pair.far.resetAndDestroy()
}
