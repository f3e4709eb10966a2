/** TCP proxy between two processes, with which a test can inject network faults. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * Network condition of a link.
 *
 * - `open`: bytes pass
 * - `silent`: bytes are dropped while connections stay open; new connections are accepted and dropped likewise
 * - `oldSilent`: like `silent` for the connections open at that moment; new ones work
 * - `oneWay`: bytes from the upstream are dropped, bytes to it pass
 * - `slow`: bytes pass after a delay
 * - `cut`: connections are reset, and new ones are reset immediately
 * - `refuseNew`: new connections are reset immediately
 * - `held`: bytes are kept back, on new connections, too, and passed on when the mode ends; a connection whose
 *   downstream has closed meanwhile is reset then. New connections are established, as the kernel accepts them; in a
 *   network that is partitioned they would time out.
 */
export type LinkMode = 'open' | 'silent' | 'oldSilent' | 'oneWay' | 'slow' | 'cut' | 'refuseNew' | 'held'

/** Delay of each chunk in mode `slow`, in milliseconds. */
const SLOW_MS = 150

export interface Link {
  /** IP address and port to connect to instead of the upstream. */
  address: string
  /** Changes the mode. A connection keeps the faults of earlier modes; `open` affects only new ones. */
  setMode: (mode: LinkMode) => void
  /** Changes the mode for connections from some IP addresses; others keep that of the link. */
  setModeFrom: (addresses: readonly string[], mode: LinkMode) => void
  /** True for the local port of a connection to the upstream which hides that its other end has closed. */
  isHalfOpen: (port: number) => boolean
  /** Returns the number of bytes received from both ends so far. */
  getByteCount: () => number
  close: () => Promise<void>
}

/** A proxied connection. The faults of a mode are permanent for it, because dropped bytes can't be recovered. */
interface Connection {
  /** IP address of the downstream. */
  from: string
  downstream: Socket
  upstream: Socket
  isSilent: boolean
  /** Whether bytes from the upstream are dropped. */
  dropsFromUpstream: boolean
  isSlow: boolean
  /** What was kept back; undefined unless the mode is `held`. */
  held?: Array<() => void>
  /** True when the downstream has closed while bytes were kept back. */
  hasLeft: boolean
}

/**
 * Starts a link. It connects to the upstream from the address from which the connection came.
 *
 * @param upstreamAddress - IP address and port of the upstream
 */
export async function createLink (upstreamAddress: string): Promise<Link> {
  const connections = new Set<Connection>()
  const sockets = new Set<Socket>()
  /** Upstream ends of connections whose other end has closed silently. */
  const halfOpen = new Set<Socket>()
  let mode: LinkMode = 'open'
  const modesFrom = new Map<string, LinkMode>()
  let byteCount = 0

  function accept (downstream: Socket): void {
    const from = downstream.remoteAddress ?? ''
    const current = modesFrom.get(from) ?? mode
    if (current === 'cut' || current === 'refuseNew') {
      downstream.resetAndDestroy()
      return
    }
    const upstream = connect({ ...parseAddress(upstreamAddress), localAddress: downstream.remoteAddress })
    const connection: Connection = {
      from,
      downstream,
      upstream,
      isSilent: false,
      dropsFromUpstream: false,
      isSlow: false,
      hasLeft: false
    }
    if (current !== 'oldSilent') applyMode(connection, current)
    connections.add(connection)
    relay(connection, downstream, upstream, false)
    relay(connection, upstream, downstream, true)
  }

  function relay (connection: Connection, from: Socket, into: Socket, isFromUpstream: boolean): void {
    from.on('data', (bytes) => {
      byteCount += bytes.length
      if (isDropped()) return
      if (connection.held !== undefined) {
        connection.held.push(() => { if (into.writable) into.write(bytes) })
        return
      }
      if (connection.isSlow) {
        setTimeout(() => { if (into.writable) into.write(bytes) }, SLOW_MS)
        return
      }
      if (into.write(bytes)) return
      from.pause()
      into.once('drain', () => from.resume())
    })
    let isReset = false
    const isDropped = (): boolean => connection.isSilent || (connection.dropsFromUpstream && isFromUpstream)
    from.on('end', () => {
      if (connection.held !== undefined) {
        if (isFromUpstream) connection.held.push(() => into.end())
        else connection.hasLeft = true
        return
      }
      // A reset that arrives with the last bytes is read as a regular end, but leaves the socket without a peer.
      isReset ||= from.remoteAddress === undefined
      if (isReset) {
        from.destroy()
        return
      }
      if (isDropped()) {
        markHalfOpen()
        return
      }
      if (connection.isSlow) setTimeout(() => into.end(), SLOW_MS)
      else into.end()
    })
    const markHalfOpen = (): void => { if (!isFromUpstream && !into.destroyed) halfOpen.add(into) }
    sockets.add(from)
    from.on('error', () => { isReset = true })
    from.on('close', () => {
      const end = (): void => {
        if (isReset) into.resetAndDestroy()
        else into.destroy()
      }
      sockets.delete(from)
      halfOpen.delete(from)
      if (connection.held !== undefined && !isDropped()) {
        if (isFromUpstream) connection.held.push(end)
        else connection.hasLeft = true
        return
      }
      connections.delete(connection)
      if (isDropped()) {
        markHalfOpen()
        return
      }
      if (connection.isSlow) setTimeout(end, 2 * SLOW_MS)
      else end()
    })
  }

  const server = createServer({ allowHalfOpen: true }, accept)
  await listen(server)
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    setMode: (next) => {
      mode = next
      for (const connection of connections) if (!modesFrom.has(connection.from)) applyMode(connection, next)
    },
    setModeFrom: (addresses, next) => {
      for (const from of addresses) {
        if (next === 'open') modesFrom.delete(from)
        else modesFrom.set(from, next)
      }
      for (const connection of connections) if (addresses.includes(connection.from)) applyMode(connection, next)
    },
    isHalfOpen: (one) => [...halfOpen].some(({ localPort }) => localPort === one),
    getByteCount: () => byteCount,
    close: async () => {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      // When one end of a silent connection closes, the other stays open.
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}

function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

async function listen (server: Server): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve())
  })
}

function applyMode (connection: Connection, mode: LinkMode): void {
  // A silent connection stays silent, as after a firewall or NAT has lost its connection-table entry.
  if (mode === 'silent' || mode === 'oldSilent') connection.isSilent = true
  if (mode === 'oneWay') connection.dropsFromUpstream = true
  if (mode === 'slow') connection.isSlow = true
  if (mode === 'cut') resetConnection(connection)
  if (mode === 'held') connection.held ??= []
  else passHeld(connection)
}

function passHeld (connection: Connection): void {
  const { held = [], hasLeft } = connection
  connection.held = undefined
  if (hasLeft) resetConnection(connection)
  else held.forEach((pass) => pass())
}

function resetConnection (connection: Connection): void {
  connection.downstream.resetAndDestroy()
  connection.upstream.resetAndDestroy()
}
