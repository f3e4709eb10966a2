/** Mapping of calls to the HTTP requests of a platform's object API, and of its responses to a common form. */
import type { ListOptions, WatchOptions } from './client'

export interface PlatformCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  /** Path and query below the base URL. */
  path: string
  body?: unknown
}

export interface PlatformResponse {
  status: number
  body: unknown
}

/** A conditional write; revision 0 requires that the object does not exist yet. */
export interface PlatformWrite {
  value: unknown
  writeId: string
  ifRevision: number
}

export type PlatformOperation = 'get' | 'list' | 'put' | 'putStatus' | 'remove' | 'watch'

/** Adapts the object API of docs/reference/platform.md to that of one platform. */
export interface PlatformDialect {
  get: (kind: string, name: string) => PlatformCall
  list: (kind: string, options: ListOptions) => PlatformCall
  put: (kind: string, name: string, write: PlatformWrite) => PlatformCall
  /** Writes the status part of an object; absent where objects have no such part. */
  putStatus?: (kind: string, name: string, status: unknown, ifRevision?: number) => PlatformCall
  remove: (kind: string, name: string, ifRevision?: number) => PlatformCall
  watch: (kind: string, options: WatchOptions) => PlatformCall
  /**
   * Converts a response of the platform to one that matches the schemas in schemas.ts.
   *
   * @param operation - the operation that was requested
   * @param kind - kind of the objects
   * @param response - the response as received
   */
  translate: (operation: PlatformOperation, kind: string, response: PlatformResponse) => PlatformResponse
}

/** The API exactly as specified in docs/reference/platform.md. */
export const DEFAULT_DIALECT: PlatformDialect = {
  get: (kind, name) => ({ method: 'GET', path: objectPath(kind, name) }),
  list: (kind, options) => ({ method: 'GET', path: listPath(kind, options) }),
  put: (kind, name, { value, writeId, ifRevision }) => ({
    method: 'PUT', path: objectPath(kind, name), body: { value, writeId, ifRevision }
  }),
  remove: (kind, name, ifRevision) => ({
    method: 'DELETE', path: objectPath(kind, name) + (ifRevision === undefined ? '' : `?ifRevision=${ifRevision}`)
  }),
  watch: (kind, { since, waitMs, prefix }) => {
    const query = new URLSearchParams({ since: String(since), waitMs: String(waitMs) })
    if (prefix !== undefined) query.set('prefix', prefix)
    return { method: 'GET', path: `/v1/watch/${encodeURIComponent(kind)}?${query.toString()}` }
  },
  translate: (_operation, _kind, response) => response
}

function objectPath (kind: string, name: string): string {
  return `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`
}

function listPath (kind: string, options: ListOptions): string {
  const query = new URLSearchParams()
  if (options.prefix !== undefined) query.set('prefix', options.prefix)
  if (options.limit !== undefined) query.set('limit', String(options.limit))
  if (options.after !== undefined) query.set('after', options.after)
  return `/v1/objects/${encodeURIComponent(kind)}?${query.toString()}`
}
