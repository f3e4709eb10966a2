import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createEngineClient } from '.'
import type { Target } from '../membership'

interface EngineWorld {
  server?: Server
  target: Target
  tokens: number
  last: { kind: string, reached: boolean }
}

const TOKENS = 'data: {"choices":[{"text":"a "}]}\n\ndata: {"choices":[{"text":"b "}]}\n\n'
const FINISH_REASON = 'data: {"choices":[{"text":"","finish_reason":"stop"}]}\n\n'
const DONE = 'data: [DONE]\n\n'

function disconnectAfter (res: ServerResponse, text: string): void {
  res.write(text, () => setImmediate(() => res.destroy()))
}

/** Writes as fast as the connection takes it, until it is closed. */
function writeEndlessly (res: ServerResponse, text: string): void {
  const block = text.repeat(1000)
  const write = (): void => {
    while (!res.destroyed && res.write(block));
    if (!res.destroyed) res.once('drain', write)
  }
  write()
}

/** Answers with a status, and with the events of a complete stream in place of an error. */
function answerEvents (status: number): (res: ServerResponse) => void {
  return (res) => { res.writeHead(status, { 'content-type': 'text/event-stream' }).end(TOKENS + FINISH_REASON + DONE) }
}

const BEHAVIORS: Record<string, (res: ServerResponse) => void> = {
  'ends with a reason and the mark': (res) => { res.end(TOKENS + FINISH_REASON + DONE) },
  'ends in order without the mark': (res) => { res.end(TOKENS + FINISH_REASON) },
  'has the mark without a reason': (res) => { res.end(TOKENS + DONE) },
  'breaks off': (res) => disconnectAfter(res, TOKENS),
  'goes silent': (res) => { res.write(TOKENS) },
  'never answers': () => undefined,
  'breaks off before its head': (res) => { res.destroy() },
  'says that it leaves': (res) => { res.writeHead(503).end('{"error":{"code":"leaving"}}') },
  'sends bytes without end and without events': (res) => writeEndlessly(res, 'data: noise\n'),
  'fails with a body without end': (res) => writeEndlessly(res.writeHead(500), 'noise'),
  fails: (res) => { res.writeHead(500).end('{}') },
  'does not listen': () => undefined,
  'puts an error into its stream': (res) => { res.end(`${TOKENS}data: {"error":{"code":"failed"}}\n\n${TOKENS}${DONE}`) },
  'answers 200 with an error': (res) => { res.end('{"error":{"code":"failed"}}') },
  'answers 204 with nothing': (res) => { res.writeHead(204).end() },
  ...Object.fromEntries([206, 302, 404, 422, 429, 500, 503].map((status) => (
    [`answers ${status} with events`, answerEvents(status)]
  )))
}

Given(/^a raw engine that (.+)$/, async function (this: EngineWorld, what: string) {
  const server = createServer((req, res) => BEHAVIORS[what]!(res))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()))
  const { port } = server.address() as AddressInfo
  if (what === 'does not listen') server.close()
  else this.server = server
  this.target = {
    id: 'raw',
    role: 'engine',
    service: 's',
    address: `127.0.0.1:${port}`,
    failureDomain: 'd',
    region: 'r',
    state: 'live'
  }
})

When('the engine client reads its stream', async function (this: EngineWorld) {
  const client = createEngineClient({ firstTokenTimeoutMs: 200, tokenGapTimeoutMs: 100 })
  this.tokens = 0
  const started = await client.start(this.target, { requestId: 'r', kind: 'completion', body: {} })
  if (started.isErr()) this.last = started.error
  else {
    for (;;) {
      const event = await started.value.next()
      if (event.isErr()) this.last = event.error
      else if (event.value.type === 'end') this.last = { kind: 'end', reached: true }
      else {
        this.tokens += 1
        continue
      }
      break
    }
  }
  await client.close()
})

Then('the engine client received {int} tokens and then {word}, reached {word}', function (
  this: EngineWorld, tokens: number, kind: string, reached: string
) {
  assert.deepEqual([this.tokens, this.last.kind, String(this.last.reached)], [tokens, kind, reached])
})

After({ tags: '@rawEngine' }, function (this: Partial<EngineWorld>) {
  this.server?.closeAllConnections()
  this.server?.close()
})
