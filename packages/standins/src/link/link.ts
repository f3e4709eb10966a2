/** A TCP connection between two processes that a test can cut or silence. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * What happens to bytes on a link.
 *
 * - `open`: they pass
 * - `silent`: they are dropped, and connections stay open; new connections open and stay silent too
 * - `oldSilent`: as `silent` for the connections open at that moment; new ones work
 * - `oneWay`: bytes from the far end are dropped, those to it pass
 * - `slow`: bytes pass after a delay
 * - `cut`: connections are reset, new ones are refused by an immediate reset
 */
export type LinkMode = 'open' | 'silent' | 'oldSilent' | 'oneWay' | 'slow' | 'cut'

/** Delay of a slow link, in milliseconds. */
const SLOW_MS = 150

export interface Link {
  /** IP number and port to connect to in place of the far end. */
  address: string
  /** Changes what happens to bytes from now on. */
  set: (mode: LinkMode) => void
  /** Bytes that came from either end so far. */
  bytes: () => number
  close: () => Promise<void>
}

/** One connection; what a mode did to it stays so, since bytes that are lost can't be made up for. */
interface Pair {
  near: Socket
  far: Socket
  silent: boolean
  /** Bytes from the far end are dropped. */
  deaf: boolean
  slow: boolean
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
    const pair: Pair = { near, far, silent: false, deaf: false, slow: false }
    if (mode !== 'oldSilent') applyMode(pair, mode)
    pairs.add(pair)
    relay(pair, near, far, false)
    relay(pair, far, near, true)
  }

  function relay (pair: Pair, from: Socket, into: Socket, isFromFar: boolean): void {
    from.on('data', (bytes) => {
      byteCount += bytes.length
      if (pair.silent || (pair.deaf && isFromFar)) return
      if (pair.slow) {
        setTimeout(() => { if (into.writable) into.write(bytes) }, SLOW_MS)
        return
      }
      if (into.write(bytes)) return
      from.pause()
      into.once('drain', () => from.resume())
    })
    from.on('end', () => {
      if (pair.silent || (pair.deaf && isFromFar)) return
      if (pair.slow) setTimeout(() => into.end(), SLOW_MS)
      else into.end()
    })
    sockets.add(from)
    from.on('error', () => undefined)
    from.on('close', () => {
      sockets.delete(from)
      pairs.delete(pair)
      if (pair.silent) return
      if (pair.slow) setTimeout(() => into.destroy(), 2 * SLOW_MS)
      else into.destroy()
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
  if (mode === 'oneWay') pair.deaf = true
  if (mode === 'slow') pair.slow = true
  if (mode === 'cut') destroyPair(pair)
}

function destroyPair (pair: Pair): void {
  pair.near.resetAndDestroy()
  pair.far.resetAndDestroy()
}
