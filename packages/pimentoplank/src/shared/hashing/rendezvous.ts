/** Rendezvous (highest random weight) hashing. */
import { hash64 } from './hash'

/**
 * Orders nodes by their weight for a key, highest first. Removing a node moves only the keys it came first for.
 *
 * @param key - what is to be placed
 * @param nodes - candidates
 * @param idOf - stable identity of a candidate
 */
export function rankByRendezvous<Node> (key: string, nodes: readonly Node[], idOf: (node: Node) => string): Node[] {
  const weighted = nodes.map((node) => ({ node, id: idOf(node), weight: hash64(`${key}\u0000${idOf(node)}`) }))
  weighted.sort((a, b) => {
    if (a.weight !== b.weight) return a.weight > b.weight ? -1 : 1
    return a.id < b.id ? -1 : 1
  })
  return weighted.map((entry) => entry.node)
}
