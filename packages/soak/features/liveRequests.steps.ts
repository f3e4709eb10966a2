import assert from 'node:assert/strict'
import { Agent, createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { send, type Answer } from 'pimentoplank-platform/testing'
import { sendLiveRequest, type Attempt } from '../src'

interface LongAnswerWorld {
  answerServer?: Server
  answer: Answer
}

const KIB = 1024

async function sendAsInRun (address: string): Promise<Answer> {
  const attempts: Attempt[] = []
  const instance = { id: 'front-1', address } as unknown as Attempt['instance']
  const agent = new Agent()
  await sendLiveRequest({
    id: 's0',
    kind: 'plain',
    createPrompt: () => ({}),
    pickInstance: () => instance,
    pickOther: () => instance,
    getAgent: () => agent
  }, (attempt) => attempts.push(attempt))
  return attempts[0]!.answer!
}

Given('a server whose answers have {int} KiB', async function (this: LongAnswerWorld, size: number) {
  const body = Buffer.alloc(size * KIB, 'noise')
  this.answerServer = createServer((req, res) => {
    req.resume()
    res.end(body)
  })
  await new Promise<void>((resolve) => this.answerServer!.listen(0, '127.0.0.1', resolve))
})

When(/^a caller of a (run|fleet) sends it a request$/, async function (this: LongAnswerWorld, where: string) {
  const address = `127.0.0.1:${(this.answerServer!.address() as AddressInfo).port}`
  this.answer = where === 'run' ? await sendAsInRun(address) : await send({ address }, '/stock/x')
})

Then('the answer is whole and at most {int} KiB of it are kept', function (this: LongAnswerWorld, most: number) {
  const { isWhole, body } = this.answer
  assert.deepEqual([isWhole, body.length <= most * KIB], [true, true], `whole: ${isWhole}, ${body.length} bytes`)
})

Then(/^the answer says that it is (complete|truncated)$/, function (this: LongAnswerWorld, state: string) {
  assert.equal(this.answer.isTruncated, state === 'truncated')
})

After(function (this: Partial<LongAnswerWorld>) {
  this.answerServer?.closeAllConnections()
  this.answerServer?.close()
})
