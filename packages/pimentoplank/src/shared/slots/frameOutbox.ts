/** Outgoing frame buffer that coalesces messages added before the next send into one frame. */

export interface FrameOutbox<Frame> {
  /** Changes the frame that is sent next. */
  add: (change: (frame: Frame) => void) => void
  /** Yields the frames in order; ends after `close`, once the last one was sent. */
  frames: () => AsyncGenerator<Frame, void, undefined>
  /** Returns the number of frames sent so far. */
  sentCount: () => number
  close: () => void
}

/**
 * Creates an outbox for one stream.
 *
 * @param createFrame - creates an empty frame
 */
export function createFrameOutbox<Frame> (createFrame: () => Frame): FrameOutbox<Frame> {
  let pending: Frame | undefined
  let closed = false
  let sentFrames = 0
  let wake = (): void => undefined

  function takePending (): Frame | undefined {
    const frame = pending
    pending = undefined
    if (frame !== undefined) sentFrames += 1
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
    sentCount: () => sentFrames,
    close: () => {
      closed = true
      wake()
    }
  }
}
