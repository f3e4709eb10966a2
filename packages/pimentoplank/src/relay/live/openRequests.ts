/** Ends the requests that are still open when the instance has to end. */

export interface OpenRequests {
  /** Registers the function that ends a request; returns the function that removes it. */
  add: (end: () => void) => () => void
  /** Ends all requests, also those that are added later. */
  endAll: () => void
  isEnded: () => boolean
}

/** Creates the registry of an instance. */
export function createOpenRequests (): OpenRequests {
  const ends = new Set<() => void>()
  let isEnded = false
  return {
    add: (end) => {
      ends.add(end)
      if (isEnded) end()
      return () => { ends.delete(end) }
    },
    endAll: () => {
      isEnded = true
      ends.forEach((end) => end())
    },
    isEnded: () => isEnded
  }
}
