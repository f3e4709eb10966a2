/** Control API of the stand-ins in a deployment: gates, fault switches, and the runs and orders they recorded. */
import type { StoredObject } from 'pimentoplank/shared'
import { request, type Dispatcher } from 'undici'

/** A platform call that is held at a gate. */
export interface HeldCall {
  kind: string
  operation: string
  name: string
  /** Instance that made the call. */
  instance: string
}

export interface GateOptions {
  kind: string
  operation: 'get' | 'list' | 'put' | 'remove' | 'watch' | 'transfer'
  /** Whether the call is held before it takes effect, or after that and before its response. */
  when: 'before' | 'after'
  instance?: string
  name?: string
  skip?: number
}

export interface Gate {
  /** Waits until a call is held at the gate. */
  waitForCall: () => Promise<HeldCall>
  /** Releases held calls, or closes their connections without a response. */
  release: (action: 'go' | 'drop') => Promise<void>
}

export interface EngineRun {
  requestId: string
  content: string
  /** Wall clock time in milliseconds. */
  startedAt: number
  tokens: number
  outcome: 'running' | 'done' | 'cancelled' | 'crashed'
}

export interface ServiceRun {
  key: string
  method: string
  path: string
}

export interface EngineState {
  state: 'live' | 'leaving'
  models: Array<{ name: string, version: string, status: string }>
}

export interface ServiceState {
  runs: ServiceRun[]
  /** Number of calls held at present. */
  held: number
}

export interface ReceivedOrder {
  action: string
  model?: string
  version?: string
  fencing: number
  applied?: boolean
}

/** Control client of the platform stand-in. */
export interface PlatformControl {
  gate: (options: GateOptions) => Promise<Gate>
  setFaults: (faults: Record<string, unknown>) => Promise<void>
  listObjects: (kind: string) => Promise<StoredObject[]>
  putInstance: (id: string, record: Record<string, unknown>) => Promise<void>
  listInstances: () => Promise<Array<Record<string, unknown> & { id: string }>>
}

/** Control client of an engine or service stand-in. */
export interface TargetControl {
  setFaults: (faults: Record<string, unknown>) => Promise<void>
  getEngineRuns: () => Promise<EngineRun[]>
  getEngineState: () => Promise<EngineState>
  getServiceRuns: () => Promise<ServiceRun[]>
  getServiceState: () => Promise<ServiceState>
  getOrders: () => Promise<ReceivedOrder[]>
}

/** Creates the control client of a platform stand-in. */
export function createPlatformControl (url: string): PlatformControl {
  return {
    gate: async (options) => {
      const { id } = await callApi<{ id: string }>(url, 'POST', '/_control/gates', options)
      return {
        waitForCall: async () => (await callApi<{ calls: HeldCall[] }>(url, 'GET', `/_control/gates/${id}`)).calls[0]!,
        release: async (action) => { await callApi(url, 'DELETE', `/_control/gates/${id}?action=${action}`) }
      }
    },
    setFaults: async (faults) => { await callApi(url, 'PATCH', '/_control/faults', faults) },
    listObjects: async (kind) =>
      (await callApi<{ items: StoredObject[] }>(url, 'GET', `/_control/objects/${kind}`)).items,
    putInstance: async (id, record) => { await callApi(url, 'PUT', `/_control/instances/${id}`, record) },
    listInstances: async () => {
      return (await callApi<{ instances: Array<{ id: string }> }>(url, 'GET', '/v1/instances')).instances
    }
  }
}

/** Creates the control client of a target stand-in. */
export function createTargetControl (url: string): TargetControl {
  return {
    setFaults: async (faults) => { await callApi(url, 'PATCH', '/_control/faults', faults) },
    getEngineRuns: async () => (await callApi<{ runs: EngineRun[] }>(url, 'GET', '/_control/runs')).runs,
    getEngineState: async () => await callApi<EngineState>(url, 'GET', '/v1/state'),
    getServiceRuns: async () => (await callApi<{ runs: ServiceRun[] }>(url, 'GET', '/_control/runs')).runs,
    getServiceState: async () => await callApi<ServiceState>(url, 'GET', '/_control/runs'),
    getOrders: async () => (await callApi<{ orders: ReceivedOrder[] }>(url, 'GET', '/_control/orders')).orders
  }
}

async function callApi<ResponseBody> (
  url: string,
  method: Dispatcher.HttpMethod,
  path: string,
  body?: unknown
): Promise<ResponseBody> {
  const res = await request(url + path, {
    method,
    headers: body === undefined ? {} : { 'content-type': 'application/json' },
    body: body === undefined ? undefined : JSON.stringify(body),
    headersTimeout: 0
  })
  const text = await res.body.text()
  if (res.statusCode !== 200) throw new Error(`${method} ${path} failed with status ${res.statusCode}: ${text}`)
  return JSON.parse(text) as ResponseBody
}
