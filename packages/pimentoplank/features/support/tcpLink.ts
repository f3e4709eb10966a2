/** A link in front of a TCP server that a test can cut or freeze. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

export interface TcpLink {
  /** IP address and port that lead to the server. */
  address: string
  /** Resets all connections, and refuses new ones. */
  cut: () => void
  /** Closes all connections as the kernel does for a process that ends, and refuses new ones. */
  end: () => void
  /** Lets no bytes through any more, without closing anything. */
  freeze: () => void
  /** Counts the connections to the server. */
  countConnections: () => number
  close: () => void
}

export interface TcpLinkOptions {
  /** Bytes of the server are collected for this long and then delivered together, in milliseconds. */
  batchMs?: number
}

/** Opens a link to a server. */
export async function openTcpLink (to: string, { batchMs }: TcpLinkOptions = {}): Promise<TcpLink> {
  const [host, port] = to.split(':')
  const sockets = new Set<Socket>()
  let isFrozen = false

  function add (socket: Socket): void {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => sockets.delete(socket))
  }

  const server = createServer({ noDelay: true }, (near) => {
    add(near)
    if (isFrozen) return near.pause()
    const far = connect({ host, port: Number(port), noDelay: true })
    add(far)
    near.pipe(far)
    if (batchMs === undefined) far.pipe(near)
    else deliverTogether(far, near, batchMs)
    near.on('close', () => far.destroy())
    far.on('close', () => near.destroy())
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')

  function cut (): void {
    server.close()
    for (const socket of [...sockets]) {
      // Node never closes a socket that is reset while it is being shut down.
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    }
  }

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    cut,
    end: () => {
      server.close()
      for (const socket of sockets) socket.unpipe().resume().end()
    },
    freeze: () => {
      isFrozen = true
      for (const socket of sockets) socket.unpipe().pause()
    },
    countConnections: () => sockets.size / 2,
    close: cut
  }
}

function deliverTogether (from: Socket, to: Socket, batchMs: number): void {
  let chunks: Buffer[] = []
  from.on('data', (chunk) => {
    if (chunks.length === 0) {
      setTimeout(() => {
        to.write(Buffer.concat(chunks))
        chunks = []
      }, batchMs)
    }
    chunks.push(chunk)
  })
}
