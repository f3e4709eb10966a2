// The link of one machine to an address: what the machine sends shares the link's bandwidth, connection by connection.
import { connect, createServer } from 'node:net'

const TURN_MS = 1
const CHUNK_BYTES = 16_384

/**
 * Starts a proxy to an address.
 *
 * @param options.mbps - bandwidth of the machine's link, in Mbit/s
 */
export async function startLink (address, { mbps = 1000 } = {}) {
  const [host, port] = address.split(':')
  const bytesPerMs = mbps * 1000 / 8
  const flows = new Set()
  let isUp = true
  let credit = 0
  let lastAt = performance.now()

  const server = createServer((near) => {
    if (!isUp) return near.destroy()
    const far = connect(Number(port), host)
    const flow = { near, far, queue: [], hasEnded: false }
    flows.add(flow)
    const close = () => {
      flows.delete(flow)
      near.destroy()
      far.destroy()
    }
    near.on('data', (chunk) => {
      for (let at = 0; at < chunk.length; at += CHUNK_BYTES) flow.queue.push(chunk.subarray(at, at + CHUNK_BYTES))
      near.pause()
    })
    near.on('end', () => { flow.hasEnded = true })
    near.on('error', close)
    far.on('error', close)
    far.on('close', close)
    far.pipe(near)
  })

  function turn () {
    const now = performance.now()
    credit = Math.min(credit + (now - lastAt) * bytesPerMs, 4 * bytesPerMs)
    lastAt = now
    for (let isBusy = true; isBusy && credit > 0;) {
      isBusy = false
      for (const flow of flows) {
        const chunk = flow.queue.shift()
        if (chunk !== undefined) {
          isBusy = true
          credit -= chunk.length
          flow.far.write(chunk)
        }
        if (flow.queue.length === 0 && flow.near.isPaused()) flow.near.resume()
        if (flow.queue.length === 0 && flow.hasEnded) flow.far.end()
        if (credit <= 0) break
      }
    }
  }

  const timer = setInterval(turn, TURN_MS)
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** The machine loses power: what it has not sent yet is lost. */
    lose: () => {
      isUp = false
      for (const { near, far } of [...flows]) {
        far.resetAndDestroy()
        near.destroy()
      }
    },
    restore: () => { isUp = true },
    close: () => {
      clearInterval(timer)
      server.close()
      for (const { near, far } of [...flows]) {
        near.destroy()
        far.destroy()
      }
    }
  }
}
