/** Stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches. */
import { createServer } from 'node:http'

const OBJECTS_PATH = /^\/pimentoplank\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/
const PAGE_SIZE = 500
/** In place of the response to a call that gets no answer. */
const NO_RESPONSE = { writeHead: () => undefined, end: () => undefined, on: () => undefined }

/**
 * Starts a store.
 *
 * @param {{ host: string, valueBytes: number }} options - `valueBytes`: largest object, in bytes of its JSON
 */
export async function startStore ({ host, valueBytes }) {
  const objects = new Map()
  const events = []
  const waiting = new Set()
  const rejected = []
  let revision = 1
  let isTurnedAway = () => undefined
  let getLateMs = () => undefined

  function getKind (kind) {
    if (!objects.has(kind)) objects.set(kind, new Map())
    return objects.get(kind)
  }

  function emit (kind, object, deleted) {
    events.push({ kind, revision: object.metadata.revision, object: structuredClone(object), deleted })
    for (const wake of [...waiting]) wake()
  }

  function put (kind, name, change) {
    const before = getKind(kind).get(name)
    const next = { specification: null, status: null, ...before, ...change }
    const isSame = before !== undefined &&
      JSON.stringify([before.specification, before.status]) === JSON.stringify([next.specification, next.status])
    if (isSame) return before
    const object = {
      ...next,
      metadata: {
        name,
        revision: ++revision,
        created: before?.metadata.created ?? revision,
        finalizers: [],
        deletion_requested: false
      }
    }
    getKind(kind).set(name, object)
    emit(kind, object, false)
    return object
  }

  function remove (kind, name) {
    const object = getKind(kind).get(name)
    if (object === undefined) return
    getKind(kind).delete(name)
    emit(kind, { ...object, metadata: { ...object.metadata, revision: ++revision } }, true)
  }

  function send (res, status, body) {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    res.end(text)
  }

  function watch (kind, query, res) {
    const since = Number(query.get('watch'))
    const list = () => events.filter((event) => event.kind === kind && event.revision > since)
    const finish = () => {
      clearTimeout(timer)
      waiting.delete(wake)
      send(res, 200, { events: list().map(({ object, deleted }) => ({ object, deleted })), at: revision })
    }
    const wake = () => { if (list().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms') ?? 0)))
    waiting.add(wake)
    res.on('close', () => {
      clearTimeout(timer)
      waiting.delete(wake)
    })
    wake()
  }

  const handlers = {
    GET: ({ kind, name, query }, res) => {
      if (query.has('watch')) return watch(kind, query, res)
      if (name !== undefined) {
        const found = getKind(kind).get(name)
        return found === undefined ? send(res, 404, {}) : send(res, 200, found)
      }
      const after = query.get('after') ?? ''
      const all = [...getKind(kind).values()].filter(({ metadata }) => metadata.name > after)
        .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
      send(res, 200, { items: all.slice(0, PAGE_SIZE), has_more: all.length > PAGE_SIZE, at: revision })
    },
    POST: ({ kind, body }, res) => {
      const { name } = body.metadata
      const found = getKind(kind).get(name)
      if (found !== undefined) return send(res, 409, found)
      send(res, 201, put(kind, name, { specification: body.specification }))
    },
    PUT: ({ kind, name, isStatus, body }, res) => {
      const found = getKind(kind).get(name)
      if (found === undefined) return send(res, 404, {})
      const wanted = body.metadata?.revision ?? found.metadata.revision
      if (wanted !== found.metadata.revision) return send(res, 409, found)
      send(res, 200, put(kind, name, isStatus ? { status: body.status } : { specification: body.specification }))
    },
    DELETE: ({ kind, name, query }, res) => {
      const found = getKind(kind).get(name)
      const wanted = query.get('revision')
      if (found === undefined) return send(res, 404, {})
      if (wanted !== null && Number(wanted) !== found.metadata.revision) return send(res, 409, found)
      remove(kind, name)
      send(res, 200, {})
    }
  }

  async function serve (req, res) {
    const url = new URL(req.url, 'http://store')
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const text = Buffer.concat(chunks)
    const match = OBJECTS_PATH.exec(url.pathname)
    if (match === null || handlers[req.method] === undefined) return send(res, 404, {})
    const kind = decodeURIComponent(match[1])
    const name = match[2] === undefined ? undefined : decodeURIComponent(match[2])
    const how = isTurnedAway(req)
    if (how === 'busy') return send(res, 503, {})
    if (how === 'reset') return req.socket.resetAndDestroy()
    const body = text.length === 0 ? undefined : JSON.parse(text.toString('utf8'))
    const bytes = body?.specification === undefined ? 0 : Buffer.byteLength(JSON.stringify(body.specification))
    if (bytes > valueBytes) {
      rejected.push({ kind, name: name ?? body.metadata.name, bytes, at: Date.now() })
      return send(res, 413, { error: `an object has ${valueBytes} bytes at most` })
    }
    const call = { method: req.method, kind, name, isStatus: match[3] !== undefined, query: url.searchParams, body }
    const lateMs = req.method === 'GET' ? undefined : getLateMs(call)
    if (lateMs === undefined) return handlers[req.method](call, res)
    setTimeout(() => handlers[req.method](call, NO_RESPONSE), lateMs)
  }

  const server = createServer((req, res) => { serve(req, res).catch(() => res.destroy()) })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  return {
    address: `${host}:${server.address().port}`,
    write: (kind, name, specification) => put(kind, name, { specification }).metadata.revision,
    remove,
    read: (kind, name) => getKind(kind).get(name),
    list: (kind) => [...getKind(kind).values()],
    /** Objects that were turned away for their size. */
    rejected,
    /** Sets which calls are turned away: a function of the request that returns 'busy', 'reset' or undefined. */
    turnAway: (decide) => { isTurnedAway = decide },
    /** Sets which writes get no answer and are done late: a function of the call that returns the delay, if any. */
    loseAnswers: (decide) => { getLateMs = decide },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
