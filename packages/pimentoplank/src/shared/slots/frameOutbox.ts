/** Collects what is to be sent to a peer, so that messages of one moment share a frame. */

export interface FrameOutbox<Frame> {
  /** Adds to the frame that is sent next. */
  add: (change: (frame: Frame) => void) => void
  /** The frames in order; ends after `close`, when the last one was taken. */
  frames: () => AsyncGenerator<Frame, void, undefined>
  /** Frames taken so far. */
  taken: () => number
  close: () => void
}

/**
 * Creates an outbox for one stream.
 *
 * @param createFrame - makes an empty frame
 */
export function createFrameOutbox<Frame> (createFrame: () => Frame): FrameOutbox<Frame> {
  let pending: Frame | undefined
  let closed = false
  let taken = 0
  let wake = (): void => undefined

  function takePending (): Frame | undefined {
    const frame = pending
    pending = undefined
    if (frame !== undefined) taken += 1
    return frame
  }

  async function * frames (): AsyncGenerator<Frame, void, undefined> {
    while (true) {
      const frame = takePending()
      if (frame !== undefined) yield frame
      else if (closed) return
      else await new Promise<void>((resolve) => { wake = resolve })
    }
  }

  return {
    add: (change) => {
      if (closed) return
      pending ??= createFrame()
      change(pending)
      wake()
    },
    frames,
    taken: () => taken,
    close: () => {
      closed = true
      wake()
    }
  }
}
