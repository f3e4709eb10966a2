/** Rendezvous (highest random weight) hashing. */
import { hash64 } from './hash'

/**
 * Sorts nodes by their weight for a key, highest first. Removing a node only moves the keys for which it ranked first.
 *
 * @param key - key to be placed
 * @param nodes - candidate nodes
 * @param getId - returns the stable id of a node
 */
export function rankByRendezvous<Node> (key: string, nodes: readonly Node[], getId: (node: Node) => string): Node[] {
  const weighted = nodes.map((node) => ({ node, id: getId(node), weight: hash64(`${key}\u0000${getId(node)}`) }))
  weighted.sort((a, b) => {
    if (a.weight !== b.weight) return a.weight > b.weight ? -1 : 1
    return a.id < b.id ? -1 : 1
  })
  return weighted.map((entry) => entry.node)
}
