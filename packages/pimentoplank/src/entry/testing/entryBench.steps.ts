import { After, Given } from '@cucumber/cucumber'
import { createEntryBench, type EntryBench, type Reply } from './entryBench'

/** State that the scenarios of the entry share. */
export interface EntryWorld {
  bench: EntryBench
  prompt: string
  reply: Reply
  replies: Reply[]
  pending: Promise<Reply>
}

Given('the entry bench with {int} engine(s)', async function (this: EntryWorld, engines: number) {
  this.bench = await createEntryBench({ engines })
})

Given('the entry bench with engines of the software versions {string}', async function (
  this: EntryWorld, versions: string
) {
  this.bench = await createEntryBench({ versions: versions.split(', ') })
})

Given('the entry bench with {int} engine(s) and settings {word}', async function (
  this: EntryWorld, engines: number, settings: string
) {
  this.bench = await createEntryBench({ engines, settings: JSON.parse(settings) })
})

Given('the entry bench with {int} entries and {int} engine(s)', async function (
  this: EntryWorld, entries: number, engines: number
) {
  this.bench = await createEntryBench({ entries, engines })
})

Given('the entry bench with {int} entry/entries and {int} plain service target(s)', async function (
  this: EntryWorld, entries: number, services: number
) {
  this.bench = await createEntryBench({ entries, services, engines: 0 })
})

After({ tags: '@entryBench' }, async function (this: Partial<EntryWorld>) {
  await this.bench?.close()
})
