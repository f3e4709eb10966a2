/** Calls a stand-in over HTTP in scenarios. */
import { Agent, request } from 'undici'

export interface TestReply {
  status: number
  body: unknown
}

/** Sends one JSON call on a connection of its own. */
export async function callJson (method: 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE', url: string, body?: unknown): Promise<TestReply> {
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
