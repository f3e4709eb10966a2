/** RPC by which instances query each other for the state of at-most-once runs. */
import { createClient, type ConnectRouter } from '@connectrpc/connect'
import { OnceService, RunState as RpcRunState, SECOND_MS, type PeerTransports } from '../../shared'
import type { IntentRegistry, RunState } from './intentRegistry'

const QUERY_TIMEOUT_MS = SECOND_MS

const TO_RPC: Readonly<Record<RunState, RpcRunState>> = {
  running: RpcRunState.RUNNING,
  notDispatched: RpcRunState.NOT_DISPATCHED,
  forgotten: RpcRunState.FORGOTTEN
}

const FROM_RPC: Readonly<Record<RpcRunState, RunState>> = {
  [RpcRunState.UNSPECIFIED]: 'forgotten',
  [RpcRunState.RUNNING]: 'running',
  [RpcRunState.NOT_DISPATCHED]: 'notDispatched',
  [RpcRunState.FORGOTTEN]: 'forgotten'
}

/** Registers the service on a peer server; it answers for the runs of this instance. */
export function registerOnceService (router: ConnectRouter, registry: Pick<IntentRegistry, 'stateOf'>): void {
  router.service(OnceService, {
    getRun: ({ intent, run }) => ({ state: TO_RPC[registry.stateOf(intent, run)] })
  })
}

/** Creates a query for the state of a run; an owner that does not answer in time counts as having forgotten it. */
export function createOwnerQuery (
  transports: PeerTransports
): (address: string, intent: string, run: string) => Promise<RunState> {
  return async (address, intent, run) => {
    const client = createClient(OnceService, transports.get(address))
    try {
      const { state } = await client.getRun({ intent, run }, { timeoutMs: QUERY_TIMEOUT_MS })
      return FROM_RPC[state]
    } catch {
      return 'forgotten'
    }
  }
}
