/** Stand-ins for replicas: sound servers with slots, a short queue and resumable streams of events. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1200
const QUEUE = 24
const FIRST_EVENT_MS = 40
/** A stream event holds this many tokens. */
const TOKENS_PER_EVENT = 5

/** Returns the text of one event of a request. */
export function eventText (id, event, bytes) {
  return `${id}.${event}.`.padEnd(bytes, 'abcdefghij')
}

/** Returns the whole text of an item's output. */
export function wholeText (id, events, bytes) {
  return Array.from({ length: events }, (_, index) => eventText(id, index + 1, bytes)).join('\n')
}

/** Returns the number of events that a request asks for. */
export function countEvents (tokenUsage) {
  return Math.ceil(Number(tokenUsage.split(',')[1]) / TOKENS_PER_EVENT)
}

/**
 * Starts the replicas of one service and registers them in the store.
 *
 * @param {object} options - `hosts`: an address for each; `eventMs`: pause between events; `eventBytes`: size of each
 */
export async function startReplicas ({ store, service, hosts, slots, zones, eventMs, eventBytes }) {
  const runs = []
  const replicas = await Promise.all(hosts.map(async (host, index) => await start(host, index)))

  async function start (host, index) {
    const id = `i-${(index + 1).toString(16).padStart(10, 'c0ffee')}`
    const born = Date.now()
    const waiting = []
    let running = 0
    let sequence = 0

    function getLoad () {
      return `${running},${waiting.length},${slots}`
    }

    function refuse (res, status, requestId) {
      res.writeHead(status, { 'Attempt-Id': requestId, 'Not-Executed': '1', 'Content-Length': '0', 'Server-Load': getLoad() })
      res.end()
    }

    async function acquire (socket) {
      if (running >= slots) {
        await new Promise((resolve) => {
          const wake = () => {
            socket.off('close', leave)
            resolve()
          }
          const leave = () => {
            const place = waiting.indexOf(wake)
            if (place >= 0) waiting.splice(place, 1)
            resolve()
          }
          waiting.push(wake)
          socket.once('close', leave)
        })
      }
      if (socket.destroyed) return false
      running += 1
      return true
    }

    async function serve (req, res) {
      const chunks = []
      for await (const chunk of req) chunks.push(chunk)
      const requestId = String(req.headers['attempt-id'])
      if (req.url === '/pimentoplank/report') {
        res.writeHead(200, { 'Content-Type': 'application/json' })
        return res.end(JSON.stringify({ stage: 'both', models: [], busy: false, sequence: 0, waiting: waiting.length, running, born }))
      }
      if (req.headers['expected-instance'] !== id) return refuse(res, 421, requestId)
      if (waiting.length >= QUEUE) return refuse(res, 503, requestId)
      if (!await acquire(req.socket)) return
      const from = Number(req.headers['last-event-id'] ?? 0)
      const run = { id: requestId, replica: id, path: req.url, from, sent: 0, startedAt: Date.now(), outcome: 'running' }
      runs.push(run)
      try {
        await respond(req, res, run)
      } finally {
        run.endedAt = Date.now()
        running -= 1
        waiting.shift()?.()
      }
    }

    async function respond (req, res, run) {
      const events = countEvents(String(req.headers['token-usage'] ?? '0,25'))
      const closed = new Promise((resolve) => res.once('close', resolve))
      await Promise.race([pause(FIRST_EVENT_MS), closed])
      if (!res.destroyed) {
        res.writeHead(200, {
          'Attempt-Id': run.id, 'Content-Type': 'text/event-stream', 'Response-Signature': `signed.${id}`, 'Server-Load': getLoad()
        })
      }
      for (let event = run.from + 1; event <= events && !res.destroyed; event++) {
        res.write(`id: ${event}\ndata: ${eventText(run.id, event, eventBytes)}\n\n`)
        run.sent += 1
        await Promise.race([pause(eventMs(run.id)), closed])
      }
      run.outcome = res.destroyed ? 'dropped' : 'done'
      res.end()
    }

    const server = createServer((req, res) => { serve(req, res).catch(() => res.destroy()) })
    server.keepAliveTimeout = 60_000
    await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
    const address = `${host}:${server.address().port}`
    const register = () => store.write('servers', id, {
      service, address, zone: zones[index % zones.length], version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence: ++sequence, born
    })
    register()
    const timer = setInterval(register, HEARTBEAT_MS)
    return {
      id,
      getRunning: () => running,
      close: () => {
        clearInterval(timer)
        server.close()
        server.closeAllConnections()
      }
    }
  }

  return {
    runs,
    countRunning: () => replicas.reduce((sum, one) => sum + one.getRunning(), 0),
    countSlots: () => replicas.length * slots,
    close: () => replicas.forEach((one) => one.close())
  }
}

async function pause (ms) {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
