/** Events for one waiting task, in order. */

export interface Mailbox<Event> {
  post: (event: Event) => void
  /** The next event; one task waits at a time. */
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
