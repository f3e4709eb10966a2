/** Sends requests as an HTTP/1.0 caller, which accepts bodies that end with their connection. */
import { connect } from 'node:net'

export interface Http10Request {
  method: string
  path: string
  headers: Record<string, string>
  body?: string
}

export interface Http10Response {
  /** Head and body as received. */
  text: string
  /** True when the connection was reset, which is all that shows that a body is incomplete. */
  isReset: boolean
}

/**
 * Sends a request on a connection of its own; resolves when the connection has ended.
 *
 * @param address - IP address and port
 */
export async function sendHttp10 (address: string, req: Http10Request): Promise<Http10Response> {
  const [host, port] = address.split(':')
  const body = req.body ?? ''
  const headers = Object.entries({ ...req.headers, 'Content-Length': String(Buffer.byteLength(body)) })
  const head = [`${req.method} ${req.path} HTTP/1.0`, ...headers.map(([name, value]) => `${name}: ${value}`)]
  return await new Promise((resolve) => {
    let text = ''
    let isReset = false
    const socket = connect(Number(port), host, () => socket.write(`${head.join('\r\n')}\r\n\r\n${body}`))
    socket.on('data', (chunk) => { text += String(chunk) })
    socket.on('end', () => { isReset ||= socket.remoteAddress === undefined })
    socket.on('error', () => { isReset = true })
    socket.on('close', () => resolve({ text, isReset }))
  })
}
