/** Converts member records and notices to and from the messages that instances exchange. */
import { create } from '@bufbuild/protobuf'
import { instanceRecord, type InstanceRecord } from '../platform'
import { MemberSchema, MemberSignSchema, type Member, type MemberSign } from '../rpc'
import type { MemberNotice } from './memberNotices'

/** Encodes an entry of the instance list. */
export function encodeMember (record: InstanceRecord): Member {
  return create(MemberSchema, { ...record })
}

/** Decodes entries of the instance list; skips entries that this version cannot parse. */
export function decodeMembers (members: readonly Member[]): InstanceRecord[] {
  return members.flatMap(({ $typeName, ...fields }) => {
    const parsed = instanceRecord.safeParse(fields)
    return parsed.success ? [parsed.data] : []
  })
}

/** Encodes a notice. */
export function encodeNotice (notice: MemberNotice): MemberSign {
  return create(MemberSignSchema, { ...notice, incarnation: BigInt(notice.incarnation) })
}

/** Decodes a notice. */
export function decodeNotice (message: MemberSign): MemberNotice {
  const { id, leaving, address, ttlMs } = message
  return { id, leaving, address, ttlMs, incarnation: Number(message.incarnation) }
}
