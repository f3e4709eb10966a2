/** Converts the changes of an object kind to and from the messages that instances exchange. */
import { create } from '@bufbuild/protobuf'
import type { WatchEvent } from '../platform'
import { KindUpdateSchema, ObjectEventSchema, type KindUpdate, type ObjectEvent } from '../rpc'
import type { KindChanges } from './kindState'

/** Encodes changes as a message to a peer. */
export function encodeChanges (kind: string, changes: KindChanges): KindUpdate {
  return create(KindUpdateSchema, {
    kind,
    revision: BigInt(changes.revision),
    full: changes.full,
    events: changes.events.map(encodeEvent)
  })
}

/** Decodes changes received from a peer. */
export function decodeChanges (update: KindUpdate): KindChanges {
  return {
    revision: Number(update.revision),
    full: update.full,
    events: update.events.map((event) => decodeEvent(update.kind, event))
  }
}

function encodeEvent (event: WatchEvent): ObjectEvent {
  return create(ObjectEventSchema, {
    name: event.name,
    revision: BigInt(event.revision),
    valueJson: event.object === undefined ? undefined : JSON.stringify(event.object.value),
    writeId: event.object?.writeId ?? ''
  })
}

function decodeEvent (kind: string, event: ObjectEvent): WatchEvent {
  const { name, writeId, valueJson } = event
  const revision = Number(event.revision)
  if (valueJson === undefined) return { type: 'remove', name, revision }
  const object = { kind, name, revision, writeId, value: JSON.parse(valueJson) as unknown }
  return { type: 'put', name, revision, object }
}
