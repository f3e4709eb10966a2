import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { rankByRendezvous } from '.'

interface HashingWorld {
  nodes: string[]
  removed: string
  before: Map<string, string>
  after: Map<string, string>
}

function findFirstNodes (keys: Iterable<string>, nodes: string[]): Map<string, string> {
  return new Map([...keys].map((key) => [key, rankByRendezvous(key, nodes, (node) => node)[0]!]))
}

Given('{int} nodes ranked for {int} keys', function (this: HashingWorld, nodeCount: number, keyCount: number) {
  this.nodes = Array.from({ length: nodeCount }, (_, index) => `node-${index}`)
  const keys = Array.from({ length: keyCount }, (_, index) => `key-${index}`)
  this.before = findFirstNodes(keys, this.nodes)
})

When('one node is removed', function (this: HashingWorld) {
  this.removed = this.nodes[0]!
  this.after = findFirstNodes(this.before.keys(), this.nodes.slice(1))
})

Then('the first node changes only for the keys for which the removed node ranked first', function (this: HashingWorld) {
  for (const [key, node] of this.before) {
    if (node === this.removed) assert.notEqual(this.after.get(key), node)
    else assert.equal(this.after.get(key), node)
  }
})
