// The platform's store as the pages describe it: objects by kind and name, one revision counter, conditional writes,
// lists and watches. Every call is answered after `answerMs`.
import { createServer } from 'node:http'

const OBJECTS_PATH = /^\/pimentoplank\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/
const PAGE_SIZE = 500
const MAX_WAIT_MS = 30_000

const pause = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

/**
 * Starts a store.
 *
 * @param options.answerMs - time of an answer, in milliseconds
 * @param options.onChange - called with each change: kind, name, the object, whether it was deleted
 */
export async function startStore ({ answerMs = 4, onChange = () => undefined } = {}) {
  const kinds = new Map()
  const events = []
  const waiting = new Set()
  let revision = 1

  const getKind = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map())
    return kinds.get(kind)
  }

  function emit (kind, object, deleted) {
    events.push({ kind, revision: object.metadata.revision, object: structuredClone(object), deleted })
    for (const wake of [...waiting]) wake()
    onChange(kind, object.metadata.name, object, deleted)
  }

  function put (kind, name, change) {
    const before = getKind(kind).get(name)
    const next = { specification: null, status: null, ...before, ...change }
    const isSame = before !== undefined &&
      JSON.stringify([before.specification, before.status]) === JSON.stringify([next.specification, next.status])
    if (isSame) return before
    revision += 1
    const object = {
      ...next,
      metadata: {
        name, revision, created: before?.metadata.created ?? revision, finalizers: [], deletion_requested: false
      }
    }
    getKind(kind).set(name, object)
    emit(kind, object, false)
    return object
  }

  function drop (kind, name) {
    const object = getKind(kind).get(name)
    if (object === undefined) return
    getKind(kind).delete(name)
    revision += 1
    emit(kind, { ...object, metadata: { ...object.metadata, revision } }, true)
  }

  function send (res, status, body) {
    if (res.destroyed) return
    const text = JSON.stringify(body)
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    res.end(text)
  }

  function watch (kind, query, res) {
    const since = Number(query.get('watch'))
    const fresh = () => events.filter((one) => one.kind === kind && one.revision > since)
    const finish = () => {
      clearTimeout(timer)
      waiting.delete(wake)
      send(res, 200, { events: fresh().map(({ object, deleted }) => ({ object, deleted })), at: revision })
    }
    const wake = () => { if (fresh().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0)))
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
        const object = getKind(kind).get(name)
        return object === undefined ? send(res, 404, {}) : send(res, 200, object)
      }
      const after = query.get('after') ?? ''
      const all = [...getKind(kind).values()].filter(({ metadata }) => metadata.name > after)
        .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
      send(res, 200, { items: all.slice(0, PAGE_SIZE), has_more: all.length > PAGE_SIZE, at: revision })
    },
    POST: ({ kind, body }, res) => {
      const { name } = body.metadata
      const current = getKind(kind).get(name)
      if (current !== undefined) return send(res, 409, current)
      send(res, 200, put(kind, name, { specification: body.specification }))
    },
    PUT: ({ kind, name, isStatus, body }, res) => {
      const current = getKind(kind).get(name)
      if (current === undefined) return send(res, 404, {})
      const wanted = body.metadata?.revision ?? current.metadata.revision
      if (wanted !== current.metadata.revision) return send(res, 409, current)
      send(res, 200, put(kind, name, isStatus ? { status: body.status } : { specification: body.specification }))
    },
    DELETE: ({ kind, name, query }, res) => {
      const current = getKind(kind).get(name)
      if (current === undefined) return send(res, 404, {})
      const wanted = query.get('revision')
      if (wanted !== null && Number(wanted) !== current.metadata.revision) return send(res, 409, current)
      drop(kind, name)
      send(res, 200, {})
    }
  }

  async function serve (req, res) {
    const url = new URL(req.url, 'http://store')
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const match = OBJECTS_PATH.exec(url.pathname)
    if (match === null) return send(res, 404, {})
    await pause(answerMs)
    const text = Buffer.concat(chunks).toString('utf8')
    const [, kind, name, status] = match.map((part) => part === undefined ? undefined : decodeURIComponent(part))
    handlers[req.method]({
      kind, name, isStatus: status !== undefined, query: url.searchParams, body: text === '' ? undefined : JSON.parse(text)
    }, res)
  }

  // A call that breaks off before its end was never made.
  const server = createServer((req, res) => { serve(req, res).catch(() => res.destroy()) })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    write: (kind, name, specification) => put(kind, name, { specification }).metadata.revision,
    remove: drop,
    read: (kind, name) => getKind(kind).get(name),
    names: (kind) => [...getKind(kind).keys()].sort(),
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
