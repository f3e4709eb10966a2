/** Ends a response that has begun so that its caller can't take it for complete. */
import type { ServerResponse } from 'node:http'

const HTTP_1_0 = '1.0'

/** Closes the connection, which cuts off a body in chunks; resets it for HTTP/1.0, where a close ends every body. */
export function truncateResponse (res: ServerResponse): void {
  if (res.req.httpVersion === HTTP_1_0) res.socket?.resetAndDestroy()
  res.destroy()
}
