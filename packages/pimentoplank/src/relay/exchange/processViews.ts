/** Looks at the process of a target: directly, and through peers where that does not show it. */
import type { Random } from '../../shared'
import type { ProcessView } from '../decisions'
import type { PeerView } from '../gossip'
import type { Target } from '../model'
import type { StateAnswer, StateCall } from './stateCall'

export interface ProcessViewsOptions {
  callState: StateCall
  /** Failure domain of this instance. */
  failureDomain: string
  /** Lists all registered targets. */
  listTargets: () => Iterable<Target>
  peers: () => readonly PeerView[]
  random: Random
}

/** Resolves to what calls for the state of the target at an address show. */
export type ViewProcess = (address: string) => Promise<ProcessView[]>

/** Peers through which a target is asked; one of them may have lost its path as well. */
const ASKED_PEERS = 2
/** Other targets that are asked to find out whether a path works; some of them may be down as well. */
const ASKED_TARGETS = 3

/** Creates the views of an instance. */
export function createProcessViews (options: ProcessViewsOptions): ViewProcess {
  const { callState, random } = options

  /** Tells whether the path works over which nothing was found at an address. */
  async function viewPath (answer: StateAnswer, address: string, via?: Parameters<StateCall>[1]): Promise<ProcessView> {
    if (answer.type !== 'nothing') return answer
    const others = new Set([...options.listTargets()].map((target) => target.address))
    others.delete(address)
    const asked = shuffle([...others], random).slice(0, ASKED_TARGETS)
    const answers = await Promise.all(asked.map(async (other) => await callState(other, via)))
    return { type: 'nothing', isPathSound: answers.some(({ type }) => type === 'process') }
  }

  /** Instances of one failure domain tend to lose their paths together. */
  function choosePeers (): Array<{ instance: string, peerAddress: string }> {
    const peers = options.peers().filter(({ report }) => report.stage === 'serving' && !report.isCutOff)
    const isNear = ({ report }: PeerView): number => report.failureDomain === options.failureDomain ? 1 : 0
    return shuffle(peers, random).sort((a, b) => isNear(a) - isNear(b)).slice(0, ASKED_PEERS)
      .map(({ report: { instance, peerAddress } }) => ({ instance, peerAddress }))
  }

  return async (address) => {
    const direct = await callState(address)
    if (direct.type === 'process') return [{ ...direct, isDirect: true }]
    const peers = choosePeers()
    const answers = await Promise.all(peers.map(async (peer) => await callState(address, peer)))
    const processes = answers.filter((answer) => answer.type === 'process')
    if (processes.length > 0) return processes
    return await Promise.all([
      viewPath(direct, address), ...answers.map(async (answer, index) => await viewPath(answer, address, peers[index]))
    ])
  }
}

function shuffle<Item> (items: readonly Item[], random: Random): Item[] {
  return items.map((item) => ({ item, key: random() })).sort((a, b) => a.key - b.key).map(({ item }) => item)
}
