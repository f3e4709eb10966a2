/** Reproducible pseudo-random numbers. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Random } from '../../../shared'

/** Creates a generator that returns the same sequence for the same seed. */
export function createSeededRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
