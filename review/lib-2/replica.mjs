// A sound replica as the pages describe it: slots and a queue, streams of events with ids, and its state.
import { createServer } from 'node:http'

const pause = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

/** Returns the text of an event, which depends on the request only. */
export const eventText = (id, event) => `${id.slice(0, 8)}-${event}`

/**
 * Starts a replica.
 *
 * @param options.eventMs - time of one event, in milliseconds
 * @param options.events - number of events of a whole answer
 * @param options.eventsOf - the same for a path, where it differs
 */
export async function startReplica ({
  id, service = 'assistant', zone = 'a', version: firstVersion = 'v1', slots = 8, queue = 24, events: usualEvents = 20, eventMs = 20,
  eventsOf = () => usualEvents,
  onRun = () => undefined
}) {
  let born = Date.now()
  let version = firstVersion
  const runs = []
  const waiting = []
  const sockets = new Set()
  const faults = {}
  let running = 0
  let isClosed = false

  async function takeSlot (res) {
    if (running < slots) {
      running += 1
      return true
    }
    if (waiting.length >= queue) return false
    return await new Promise((resolve) => {
      const give = () => {
        running += 1
        resolve(true)
      }
      waiting.push(give)
      res.on('close', () => {
        const at = waiting.indexOf(give)
        if (at >= 0) waiting.splice(at, 1)
        resolve(false)
      })
    })
  }

  /** A process that has crashed has no slots any more. */
  function leaveSlot (process) {
    if (process !== born) return
    running -= 1
    waiting.shift()?.()
  }

  function refuse (res, attempt, status) {
    res.writeHead(status, { 'Attempt-Id': attempt, 'Not-Executed': '1', 'Content-Length': '0' }).end()
  }

  function report (res) {
    const open = runs.filter(({ outcome }) => outcome === 'running')
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      waiting: waiting.length,
      running,
      kv_cache_used: 0,
      kv_cache_total: 100_000,
      handles: 0,
      born,
      state: 'ready',
      runs: open.map(({ attempt, sent }) => [attempt, 100, sent, 0])
    }))
  }

  async function serve (req, res) {
    const { headers } = req
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    if (req.url === '/pimentoplank/report') return report(res)
    if (req.url === '/health') return res.writeHead(200, { 'Instance-Id': id, 'Content-Length': '0' }).end()
    const attempt = headers['attempt-id']
    if (attempt === undefined) return refuse(res, '', 400)
    if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id) return refuse(res, attempt, 421)
    if (!await takeSlot(res)) return res.destroyed ? undefined : refuse(res, attempt, 503)
    const run = {
      attempt,
      replica: id,
      version,
      path: req.url,
      from: Number(headers['last-event-id'] ?? 0),
      sent: 0,
      at: Date.now(),
      outcome: 'running'
    }
    const events = eventsOf(req.url)
    const process = born
    runs.push(run)
    onRun(run)
    const endAt = Date.now() + Number(headers['deadline-remaining'] ?? Infinity)
    try {
      res.writeHead(200, {
        'Attempt-Id': attempt,
        'Response-Signature': `sig.${id}.${attempt}`,
        'Weight-Versions': '1',
        'Server-Load': `${running},${waiting.length},${slots}`,
        ...(faults.limit === undefined ? {} : { 'Server-Limit': faults.limit }),
        'Content-Type': 'text/event-stream'
      })
      for (let event = run.from + 1; event <= events; event++) {
        await pause(eventMs)
        if (res.destroyed || Date.now() > endAt) {
          run.outcome = 'dropped'
          res.destroy()
          return
        }
        run.sent = event
        res.write(`id: ${event}\n: written by ${version}\ndata: ${eventText(attempt, event)}\n\n`)
      }
      run.outcome = 'done'
      res.end()
    } finally {
      run.endedAt = Date.now()
      leaveSlot(process)
    }
  }

  const server = createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
    serve(req, res).catch(() => res.destroy())
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address()
  const address = `127.0.0.1:${port}`
  const describe = () => ({
    service, address, zone, version, slots, state: 'ready', cold_remaining_ms: 0, sequence: 1, born
  })

  function crash () {
    if (!server.listening) return
    for (const run of runs) if (run.outcome === 'running') run.outcome = 'crashed'
    server.close()
    for (const socket of sockets) socket.destroy()
    waiting.splice(0)
    running = 0
    born = NaN
  }

  async function start (next) {
    if (isClosed) return
    version = next.version
    born = Date.now()
    await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve))
  }

  return {
    id,
    address,
    runs,
    /** `limit`: value of the header Server-Limit in all answers to requests. */
    faults,
    entry: describe(),
    /** The process dies. */
    crash,
    /** Another process starts under the id and address; its entry is not written. */
    start,
    close: () => {
      isClosed = true
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
