/** Tells how much the other end of a TCP connection has not acknowledged, which Linux lists and Node.js does not. */
import { readFile } from 'node:fs/promises'
import { isIPv4, type Socket } from 'node:net'
import { endianness } from 'node:os'

/** Lists the IPv4 connections of the system, a line each. */
const CONNECTIONS_FILE = '/proc/self/net/tcp'
/** After the two addresses: the state of the connection, and its send queue. */
const STATE_AND_QUEUE = /^[0-9A-F]{2} ([0-9A-F]{8}):/
const HEX_RADIX = 16
/** Length of an IP number in the list, with the colon that ends it. */
const LISTED_IP_CHARS = 9

/** Number of bytes; `unlisted` for a connection that was reset, `unknown` where the system doesn't tell. */
export type SendQueue = number | 'unlisted' | 'unknown'

/** Reads the send queue of a connection that this end has not ended. */
export async function readSendQueue (socket: Socket): Promise<SendQueue> {
  const { localAddress, localPort, remoteAddress, remotePort } = socket
  const local = encodeAddress(localAddress, localPort)
  const remote = encodeAddress(remoteAddress, remotePort)
  if (local === undefined || remote === undefined) return 'unknown'
  try {
    const listed = await readFile(CONNECTIONS_FILE, 'latin1')
    const addresses = ` ${local} ${remote} `
    const at = listed.indexOf(addresses)
    // A network that the list doesn't cover has none of this address.
    if (at < 0) return listed.includes(` ${local.slice(0, LISTED_IP_CHARS)}`) ? 'unlisted' : 'unknown'
    const start = at + addresses.length
    const queue = STATE_AND_QUEUE.exec(listed.slice(start, listed.indexOf('\n', start)))?.[1]
    return queue === undefined ? 'unknown' : parseInt(queue, HEX_RADIX)
  } catch {
    return 'unknown'
  }
}

/** Encodes an address as it is listed: as a number in the byte order of the machine. */
function encodeAddress (address: string | undefined, port: number | undefined): string | undefined {
  if (address === undefined || port === undefined || !isIPv4(address)) return undefined
  const bytes = Buffer.from(address.split('.').map(Number))
  if (endianness() === 'LE') bytes.reverse()
  return `${bytes.toString('hex')}:${port.toString(HEX_RADIX).padStart(4, '0')}`.toUpperCase()
}
