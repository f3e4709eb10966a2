/** An unbounded queue of events with a single consumer. */

export interface Mailbox<Event> {
  /** Adds an event and wakes the consumer. */
  post: (event: Event) => void
  /** Resolves with the next event. Only one call may be pending at a time. */
  next: () => Promise<Event>
}

/** Creates an empty mailbox. */
export function createMailbox<Event> (): Mailbox<Event> {
  const events: Event[] = []
  let wake = (): void => undefined
  return {
    post: (event) => {
      events.push(event)
      wake()
    },
    next: async () => {
      while (events.length === 0) await new Promise<void>((resolve) => { wake = resolve })
      return events.shift()!
    }
  }
}
