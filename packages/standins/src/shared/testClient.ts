/** HTTP client with which scenarios call a stand-in. */
import { Agent, request } from 'undici'

export interface TestResponse {
  status: number
  body: unknown
}

/** Sends a JSON request on a separate connection. */
export async function callJson (
  method: 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE',
  url: string,
  body?: unknown
): Promise<TestResponse> {
  const dispatcher = new Agent()
  try {
    const res = await request(url, {
      method,
      dispatcher,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body)
    })
    const text = await res.body.text()
    return { status: res.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  } finally {
    await dispatcher.destroy()
  }
}
