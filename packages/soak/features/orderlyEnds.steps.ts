import assert from 'node:assert/strict'
import { Then, When, type DataTable, type World } from '@cucumber/cucumber'
import { playOrderlyEnds, type EndsOutcome, type EndsVariant } from '../src'

interface EndsWorld extends World {
  variants: EndsVariant[]
  outcomes: EndsOutcome[]
}

const PLACE = { folder: 'reports/soak/orderlyEnds', run: 230 }
const TIMEOUT_MS = 180_000
/** Of the streams of a calm run; a busy machine may refuse some. */
const MIN_WHOLE_SHARE = 0.9

When('targets without framing play these ends with seed {int}:', { timeout: TIMEOUT_MS }, async function (
  this: EndsWorld, seed: number, table: DataTable
) {
  this.variants = table.rows().map(([closed, share, lingerMs]) => ({
    by: closed === 'all' ? 'closeAll' : 'close',
    share: Number(share),
    runList: { lingerMs: Number(lingerMs), onlyBroken: true }
  }))
  this.outcomes = await playOrderlyEnds({ variants: this.variants, seed, ...PLACE })
})

Then('streams that may be resumed, and items, ended early wherever connections were closed', function (
  this: EndsWorld
) {
  const closed = this.outcomes.filter((_, index) => this.variants[index]!.share > 0)
  for (const { ended } of closed) assert.ok(ended.resumable > 0 && ended.items > 0, JSON.stringify(ended))
})

Then('no broken promise is found', function (this: EndsWorld) {
  assert.deepEqual(this.outcomes.map(({ violations }) => violations), this.outcomes.map(() => []))
})

Then('no sound answer that came in time is incomplete where no connection was closed', function (this: EndsWorld) {
  const calm = this.outcomes.filter((_, index) => this.variants[index]!.share === 0)
  for (const { promptMarked, whole, streams, soundOnce, onceStreams } of calm) {
    assert.equal(promptMarked, 0)
    assert.ok(whole >= MIN_WHOLE_SHARE * streams, `${whole} of ${streams} whole`)
    assert.ok(soundOnce >= MIN_WHOLE_SHARE * onceStreams, `${soundOnce} of ${onceStreams} to their last event`)
  }
})

Then('no answer that may not be resumed and ended early looks whole', function (this: EndsWorld) {
  this.log(JSON.stringify(this.outcomes))
  assert.deepEqual(this.outcomes.map(({ onceLooksWhole }) => onceLooksWhole), this.outcomes.map(() => 0))
})
