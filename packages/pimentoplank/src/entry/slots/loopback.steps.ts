import assert from 'node:assert/strict'
import { EventEmitter, once } from 'node:events'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createLink, type Link } from '@pimentoplank/standins'
import {
  createOwnerOrder, createInMemoryMetrics, createPeerServer, createPeerTransports, createSilentLog, createSlotClient,
  createSnapshot, createStaticConfig, createStaticMembership, createSystemClock, serviceEntry,
  type InstanceRecord, type PeerServer, type PeerTransports, type SlotClient, type SlotGrant
} from '../../shared'
import { createSlotScheduler, type SlotScheduler } from '.'

const SERVICE = 'desk-lm'
const SLOTS = 2
const DEADLINE_MS = 30_000
const SETTLE_MS = 1
const PLACE = { failureDomain: 'rum-a', region: 'jo-south', state: 'live' } as const
const TARGET: InstanceRecord = { ...PLACE, id: 'target', role: 'engine', service: SERVICE, address: '127.0.0.1:1' }
const security = { sharedKey: 'a shared key for tests' }

interface NetworkOwner {
  record: InstanceRecord
  scheduler: SlotScheduler
  server: PeerServer
  link: Link
}

interface LoopbackWorld {
  networkOwners: NetworkOwner[]
  transports: PeerTransports
  client: SlotClient
  held: SlotGrant[]
  granted: number
  requested: number
  changes: EventEmitter
}

const clock = createSystemClock()
const config = createStaticConfig(createSnapshot(1, [
  serviceEntry.parse({ kind: 'service', name: SERVICE, type: 'engine', slotsPerTarget: SLOTS })
]))

async function startOwner (id: string, membership: ReturnType<typeof createStaticMembership>): Promise<NetworkOwner> {
  const scheduler = createSlotScheduler({
    instanceId: id,
    membership,
    config,
    clock,
    metrics: createInMemoryMetrics(),
    log: createSilentLog(),
    settings: { settleMs: SETTLE_MS, partialShare: 1 }
  })
  const routes: Parameters<typeof createPeerServer>[0]['routes'] = (router) => { scheduler.routes(router) }
  const started = await createPeerServer({ host: '127.0.0.1', port: 0, security, routes })
  const server = started._unsafeUnwrap()
  const link = await createLink(server.address)
  const record: InstanceRecord = { ...PLACE, id, role: 'entry', address: link.address, peerAddress: link.address }
  return { record, scheduler, server, link }
}

/** Waits until a change makes the condition true. */
async function waitUntil (world: LoopbackWorld, condition: () => boolean): Promise<void> {
  while (!condition()) await once(world.changes, 'change')
}

Given('{int} slot owners on loopback and a holder on the network', async function (this: LoopbackWorld, count: number) {
  const membership = createStaticMembership([])
  this.networkOwners = []
  for (let index = 0; index < count; index += 1) this.networkOwners.push(await startOwner(`entry-${index}`, membership))
  membership.set([TARGET, ...this.networkOwners.map((owner) => owner.record)])
  this.transports = createPeerTransports({ security })
  this.client = createSlotClient({
    instanceId: 'holder',
    ...PLACE,
    membership,
    clock,
    metrics: createInMemoryMetrics(),
    log: createSilentLog(),
    transports: this.transports
  })
  Object.assign(this, { held: [], granted: 0, requested: 0, changes: new EventEmitter() })
})

When('the network slot holder asks for {int} slot(s)', function (this: LoopbackWorld, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.requested += 1
    this.client.acquire({
      service: SERVICE,
      workClass: 'live',
      account: 'desk',
      weight: 1,
      deadlineMs: DEADLINE_MS,
      prefixHash: 0n,
      excluded: []
    }).match((grant) => {
      this.granted += 1
      this.held.push(grant)
      this.changes.emit('change')
    }, (refusal) => this.changes.emit('error', refusal)).catch((cause: unknown) => { throw cause })
  }
})

When('the network slot holder releases {int} slot(s)', function (this: LoopbackWorld, count: number) {
  for (const grant of this.held.splice(0, count)) grant.release({ result: 'done' })
})

When('the connections of the network slot holder go silent for good', function (this: LoopbackWorld) {
  for (const { link } of this.networkOwners) link.setMode('oldSilent')
})

When('the owner\'s server is closed', async function (this: LoopbackWorld) {
  const order = createOwnerOrder(createStaticMembership(this.networkOwners.map((owner) => owner.record)))
  const first = order.getOwners(TARGET as Parameters<typeof order.getOwners>[0])[0]
  const closed = this.networkOwners.find((owner) => owner.record.id === first?.id)
  closed!.link.setMode('cut')
  await closed!.server.close()
})

Then('the network slot holder is granted {int} slots and waits for {int}', async function (
  this: LoopbackWorld, granted: number, waiting: number
) {
  await waitUntil(this, () => this.granted >= granted)
  assert.equal(this.granted, granted)
  assert.equal(this.requested - this.granted, waiting)
})

After(async function (this: Partial<LoopbackWorld>) {
  if (this.networkOwners === undefined) return
  await this.client?.close()
  this.transports?.close()
  for (const { scheduler, server, link } of this.networkOwners) {
    await scheduler.close()
    await link.close()
    await server.close()
  }
})
