/** One holder's stream at a home: reads what the holder asks, and sends what becomes of it. */
import { create } from '@bufbuild/protobuf'
import {
  createFrameOutbox, HomeFrameSchema, SlotRefusalSchema, TargetLoadSchema,
  type Clock, type FrameOutbox, type HolderFrame, type HomeFrame, type SlotHomeSettings
} from '../../shared'
import type { Holder, HolderPort } from './holder'
import type { BoardLoad, TargetBoard } from './targetBoard'

export interface HomeStreamOptions {
  frames: AsyncIterable<HolderFrame>
  /** Aborts when the connection is gone. */
  signal: AbortSignal
  clock: Clock
  settings: SlotHomeSettings
  /** The holder says who it is and what it holds. */
  onHello: (holderId: string, stream: HomeStream) => Holder
  onFrame: (holder: Holder, frame: HolderFrame) => void
  onEnd: (holder: Holder, stream: HomeStream) => void
}

export interface HomeStream extends HolderPort {
  /** Frames for the holder; ends when the stream does. */
  run: () => AsyncGenerator<HomeFrame, void, undefined>
  /** Tells the holder to go to the next home with everything. */
  handOver: () => void
  close: () => void
}

/** Creates the task of one stream; it runs while its frames are taken. */
export function createHomeStream (options: HomeStreamOptions): HomeStream {
  const { clock, settings } = options
  const outbox: FrameOutbox<HomeFrame> = createFrameOutbox(() => create(HomeFrameSchema))
  const ended = new AbortController()
  const lastLoads = new Map<TargetBoard, string>()
  let holder: Holder | undefined
  let lastHeardAt = clock.now()

  async function read (): Promise<void> {
    try {
      for await (const frame of options.frames) {
        if (ended.signal.aborted) return
        lastHeardAt = clock.now()
        receive(frame)
      }
    } catch {
      // A connection that breaks ends the stream like one that closes.
    } finally {
      close()
    }
  }

  function receive (frame: HolderFrame): void {
    if (frame.hello !== undefined) {
      holder = options.onHello(frame.hello.holder, stream)
      outbox.add(() => undefined)
    }
    if (holder !== undefined) options.onFrame(holder, frame)
  }

  /** Sends heartbeats and load hints, and ends the stream of a holder that has gone silent. */
  async function beat (): Promise<void> {
    while (!ended.signal.aborted) {
      const taken = outbox.taken()
      await clock.sleep(settings.heartbeatMs, ended.signal)
      if (holder === undefined || holder.tickets.size === 0) continue
      if (clock.now() - lastHeardAt >= settings.silentAfterMs) close()
      // Grants and refusals carry the load of their target; a quiet stream gets loads with the heartbeat.
      if (outbox.taken() === taken) outbox.add((frame) => { addChangedLoads(frame) })
    }
  }

  function addChangedLoads (frame: HomeFrame): void {
    for (const board of new Set(holder?.tickets.values())) {
      const load = board.load()
      if (lastLoads.get(board) === loadKey(load)) continue
      lastLoads.set(board, loadKey(load))
      frame.loads.push(create(TargetLoadSchema, { target: board.targetId, ...loadFields(load) }))
    }
  }

  /** Adds the load of a ticket's target, when it differs from what the holder was told. */
  function addLoadOf (frame: HomeFrame, ticket: number, board: TargetBoard): void {
    const load = board.load()
    if (lastLoads.get(board) === loadKey(load)) return
    lastLoads.set(board, loadKey(load))
    frame.loads.push(create(TargetLoadSchema, { ticket, ...loadFields(load) }))
  }

  function close (): void {
    if (ended.signal.aborted) return
    ended.abort()
    outbox.close()
    if (holder !== undefined) options.onEnd(holder, stream)
  }

  const stream: HomeStream = {
    granted: (ticket, board) => outbox.add((frame) => {
      frame.granted.push(ticket)
      addLoadOf(frame, ticket, board)
    }),
    queued: (ticket, board) => outbox.add((frame) => {
      frame.queued.push(ticket)
      addLoadOf(frame, ticket, board)
    }),
    refused: (ticket, reason, retryAfterMs, board) => outbox.add((frame) => {
      frame.refused.push(create(SlotRefusalSchema, { ticket, reason, retryAfterMs }))
      if (board !== undefined) addLoadOf(frame, ticket, board)
    }),
    revoked: (ticket) => outbox.add((frame) => frame.revoked.push(ticket)),
    handOver: () => outbox.add((frame) => { frame.handingOver = true }),
    run: async function * () {
      options.signal.addEventListener('abort', close, { once: true })
      const tasks = [read(), beat()]
      try {
        yield * outbox.frames()
      } finally {
        close()
        options.signal.removeEventListener('abort', close)
        Promise.allSettled(tasks)
      }
    },
    close
  }
  return stream
}

function loadFields (load: BoardLoad): { limit: number, inUse: number, waiting: number, ejectedMs: number } {
  // A live request takes the place of batch work, so batch work does not count as load.
  return {
    limit: load.limit,
    inUse: load.inUse - load.batchInUse,
    waiting: load.waiting,
    ejectedMs: load.ejectedMs
  }
}

function loadKey (load: BoardLoad): string {
  return `${load.limit}/${load.inUse - load.batchInUse}/${load.waiting}/${load.ejectedMs > 0}`
}
