/** The owner's end of one holder's stream: reads the holder's requests and sends grants, refusals and loads. */
import { create } from '@bufbuild/protobuf'
import {
  createFrameOutbox, HomeFrameSchema, SlotRefusalSchema, TargetLoadSchema,
  type Clock, type FrameOutbox, type HolderFrame, type HomeFrame, type SlotSchedulerSettings
} from '../../shared'
import type { Holder, HolderPort } from './holder'
import type { SchedulerLoad, TargetScheduler } from './targetScheduler'

export interface HolderStreamOptions {
  frames: AsyncIterable<HolderFrame>
  /** Aborts when the connection has closed. */
  signal: AbortSignal
  clock: Clock
  settings: SlotSchedulerSettings
  /** Called with the first frame; returns the state of the holder. */
  onHello: (holderId: string, stream: HolderStream) => Holder
  onFrame: (holder: Holder, frame: HolderFrame) => void
  onEnd: (holder: Holder, stream: HolderStream) => void
}

export interface HolderStream extends HolderPort {
  /** Yields the frames for the holder; ends with the stream. */
  run: () => AsyncGenerator<HomeFrame, void, undefined>
  /** Tells the holder to move its grants and waiting tickets to the next owners. */
  handOver: () => void
  close: () => void
}

/** Creates a stream, which is active while the frames of `run` are consumed. */
export function createHolderStream (options: HolderStreamOptions): HolderStream {
  const { clock, settings } = options
  const outbox: FrameOutbox<HomeFrame> = createFrameOutbox(() => create(HomeFrameSchema))
  const ended = new AbortController()
  const lastLoads = new Map<TargetScheduler, string>()
  let holder: Holder | undefined
  let lastReceivedAt = clock.now()

  async function read (): Promise<void> {
    try {
      for await (const frame of options.frames) {
        if (ended.signal.aborted) return
        lastReceivedAt = clock.now()
        receive(frame)
      }
    } catch {
      // A broken connection ends the stream in the same way as a closed one.
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

  /** Sends heartbeats with changed loads, and closes the stream of a silent holder. */
  async function runHeartbeat (): Promise<void> {
    while (!ended.signal.aborted) {
      const sentBefore = outbox.sentCount()
      await clock.sleep(settings.heartbeatMs, ended.signal)
      if (holder === undefined || holder.tickets.size === 0) continue
      if (clock.now() - lastReceivedAt >= settings.silentAfterMs) close()
      // Grants and refusals carry the load of their target; an idle stream gets changed loads with the heartbeat.
      if (outbox.sentCount() === sentBefore) outbox.add((frame) => { addChangedLoads(frame) })
    }
  }

  function addChangedLoads (frame: HomeFrame): void {
    for (const scheduler of new Set(holder?.tickets.values())) {
      const load = scheduler.load()
      if (lastLoads.get(scheduler) === getLoadKey(load)) continue
      lastLoads.set(scheduler, getLoadKey(load))
      frame.loads.push(create(TargetLoadSchema, { target: scheduler.targetId, ...toLoadFields(load) }))
    }
  }

  /** Adds the load of a ticket's target if it differs from the one last sent to the holder. */
  function addTargetLoad (frame: HomeFrame, ticket: number, scheduler: TargetScheduler): void {
    const load = scheduler.load()
    if (lastLoads.get(scheduler) === getLoadKey(load)) return
    lastLoads.set(scheduler, getLoadKey(load))
    frame.loads.push(create(TargetLoadSchema, { ticket, ...toLoadFields(load) }))
  }

  function close (): void {
    if (ended.signal.aborted) return
    ended.abort()
    outbox.close()
    if (holder !== undefined) options.onEnd(holder, stream)
  }

  const stream: HolderStream = {
    granted: (ticket, scheduler) => outbox.add((frame) => {
      frame.granted.push(ticket)
      addTargetLoad(frame, ticket, scheduler)
    }),
    queued: (ticket, scheduler) => outbox.add((frame) => {
      frame.queued.push(ticket)
      addTargetLoad(frame, ticket, scheduler)
    }),
    refused: (ticket, reason, retryAfterMs, scheduler) => outbox.add((frame) => {
      frame.refused.push(create(SlotRefusalSchema, { ticket, reason, retryAfterMs }))
      if (scheduler !== undefined) addTargetLoad(frame, ticket, scheduler)
    }),
    revoked: (ticket) => outbox.add((frame) => frame.revoked.push(ticket)),
    handOver: () => outbox.add((frame) => { frame.handingOver = true }),
    run: async function * () {
      options.signal.addEventListener('abort', close, { once: true })
      const tasks = [read(), runHeartbeat()]
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

function toLoadFields (load: SchedulerLoad): { limit: number, inUse: number, waiting: number, ejectedMs: number } {
  // A live request preempts batch work, so batch work does not count as load.
  return {
    limit: load.limit,
    inUse: load.inUse - load.batchInUse,
    waiting: load.waiting,
    ejectedMs: load.ejectedMs
  }
}

function getLoadKey (load: SchedulerLoad): string {
  return `${load.limit}/${load.inUse - load.batchInUse}/${load.waiting}/${load.ejectedMs > 0}`
}
