/** Seeded random numbers and the distributions from which the load is drawn. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { hash32 } from 'pimentoplank/shared'

export interface Random {
  /** Returns a number in [0, 1). */
  float: () => number
  /** Returns an integer between two inclusive bounds. */
  int: (from: number, to: number) => number
  /** Returns the time until the next event of a Poisson process, in the unit of the mean. */
  exponential: (mean: number) => number
}

/**
 * Creates a seeded random number generator.
 *
 * @param seed - seed of the experiment
 * @param purpose - label that gives each use of a seed its own sequence
 */
export function createRandom (seed: number, purpose: string): Random {
  const generator = xoroshiro128plus(hash32(`${seed}/${purpose}`) | 0)
  const float = (): number => uniformFloat64(generator)
  return {
    float,
    int: (from, to) => uniformInt(generator, from, to),
    exponential: (mean) => -Math.log(1 - float()) * mean
  }
}

/**
 * Creates a sampler of ranks that follow Zipf's law.
 *
 * @param random - random number generator
 * @param count - number of ranks
 * @param skew - exponent; 0 makes all ranks equally likely
 * @returns a function that draws a rank from 0 on
 */
export function createZipf (random: Random, count: number, skew: number): () => number {
  const cumulative: number[] = []
  let total = 0
  for (let rank = 1; rank <= count; rank++) {
    total += 1 / rank ** skew
    cumulative.push(total)
  }
  return () => {
    const drawn = random.float() * total
    const rank = cumulative.findIndex((bound) => drawn < bound)
    return rank === -1 ? count - 1 : rank
  }
}
