/** Injectable random number generator, so that tests can seed it. */

/** Returns a number in the range [0, 1). */
export type Random = () => number
