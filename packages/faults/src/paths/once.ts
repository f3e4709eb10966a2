/** The at-most-once path: a booking that must run at most once is resent through other instances. */
import assert from 'node:assert/strict'
import type { GateOptions, HeldCall, ServiceRun } from '../control'
import { MAX_WAIT_MS, PLAIN_SERVICE, type FaultTestbed } from '../deploy'
import { waitFor } from '../waitFor'
import { reachStep, type HeldStep, type PathRun } from './types'

const KEY = 'booking-1'
const CALL_TIMEOUT_MS = 15_000
const HTTP_CREATED = 201
/** Refusal reasons after which a caller may resend. */
const RETRYABLE_REASONS = new Set([
  'onceInProgress', 'platformDown', 'noTarget', 'starting', 'addressMoved', 'queueFull', 'deadlineUnreachable'
])

interface BookingResponse {
  status: number
  body: string
  reason?: string
  outcome?: string
}

/** Creates a run of the path. */
export function createOncePath (testbed: FaultTestbed): PathRun {
  const carrier = 'entry-1'
  let first: Promise<BookingResponse | undefined>
  let final: BookingResponse

  async function send (address?: string): Promise<BookingResponse | undefined> {
    try {
      const res = await testbed.live.send(`/services/${PLAIN_SERVICE}/bookings`, {
        method: 'POST',
        address,
        headers: { 'content-type': 'application/json', 'x-no-repeat': 'true', 'idempotency-key': KEY },
        body: JSON.stringify({ guide: 'a', day: 'tomorrow' }),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      const answer = parseResponse(res.statusCode, await res.body.text())
      if (answer.outcome === 'not_run') await assertNotRun()
      return answer
    } catch (cause) {
      if (cause instanceof assert.AssertionError) throw cause
      return undefined
    }
  }

  /** Asserts that no booking has run at the time a request is refused as not run. */
  async function assertNotRun (): Promise<void> {
    assert.equal((await getBookingRuns(testbed)).length, 0, 'a booking ran although it was refused as not run')
  }

  function start (): void {
    first = send(testbed.process(carrier).listening.address)
    first.catch(() => undefined)
  }

  async function reachGate (options: Omit<GateOptions, 'kind' | 'operation'>): Promise<HeldStep> {
    const gate = await testbed.platform.gate({ kind: 'intent', operation: 'put', instance: carrier, ...options })
    start()
    const call: HeldCall = await gate.waitForCall()
    return { carrier: call.instance, gate }
  }

  async function reachService (hold: 'before' | 'after'): Promise<HeldStep> {
    await setServiceFaults(testbed, { hold })
    start()
    const target = await waitFor(
      'the service to get the booking', async () => await findHoldingService(testbed, hold), MAX_WAIT_MS)
    return { carrier, target, resume: async () => await setServiceFaults(testbed, { hold: null }) }
  }

  const steps = {
    'intent not written': async () => await reachGate({ when: 'before' }),
    'intent written': async () => await reachGate({ when: 'after' }),
    dispatched: async () => await reachService('before'),
    ran: async () => await reachService('after'),
    'outcome not written': async () => await reachGate({ when: 'before', skip: 1 }),
    'outcome written': async () => await reachGate({ when: 'after', skip: 1 })
  }

  async function finish (): Promise<void> {
    await first
    final = await waitFor('a final response', async () => {
      const answer = await send()
      return answer === undefined || RETRYABLE_REASONS.has(answer.reason ?? '') ? undefined : answer
    }, MAX_WAIT_MS)
  }

  async function check (): Promise<void> {
    const runs = await getBookingRuns(testbed)
    assert.ok(runs.length <= 1, `the booking ran ${runs.length} times`)
    assert.ok(final.status === HTTP_CREATED || final.reason === 'onceUnknown', JSON.stringify(final))
    if (final.status === HTTP_CREATED) assert.equal(runs.length, 1)
    // A caller may still have the address of a stopped instance.
    const again = await waitFor('a response to the resent booking', async () => await send(), MAX_WAIT_MS)
    assert.deepEqual([again.status, again.reason], [final.status, final.reason])
    if (final.status === HTTP_CREATED) assert.equal(again.body, final.body)
    assert.ok((await getBookingRuns(testbed)).length <= 1)
  }

  return { reach: async (step) => await reachStep(steps, step), finish, check }
}

function parseResponse (status: number, body: string): BookingResponse {
  if (status < 400) return { status, body }
  const problem = JSON.parse(body) as { reason?: string, outcome?: string }
  return { status, body, reason: problem.reason, outcome: problem.outcome }
}

function listRunningServices (testbed: FaultTestbed): string[] {
  return [...testbed.deployment.processes.keys()]
    .filter((id) => id.startsWith(`${PLAIN_SERVICE}-`) && testbed.process(id).child.exitCode === null)
    .filter((id) => testbed.process(id).child.signalCode === null)
}

async function setServiceFaults (testbed: FaultTestbed, faults: Record<string, unknown>): Promise<void> {
  await Promise.all(listRunningServices(testbed).map(async (id) => await testbed.target(id).setFaults(faults)))
}

/** Gets the runs of the booking at every running service; runs of killed services are not available. */
async function getBookingRuns (testbed: FaultTestbed): Promise<ServiceRun[]> {
  const runs = await Promise.all(
    listRunningServices(testbed).map(async (id) => await testbed.target(id).getServiceRuns()))
  return runs.flat().filter((run) => run.key === KEY)
}

async function findHoldingService (testbed: FaultTestbed, hold: 'before' | 'after'): Promise<string | undefined> {
  for (const id of listRunningServices(testbed)) {
    const { held, runs } = await testbed.target(id).getServiceState()
    if (held > 0 && (hold === 'before' || runs.length > 0)) return id
  }
  return undefined
}
