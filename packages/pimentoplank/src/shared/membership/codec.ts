/** Translates members and signs to and from the messages between instances. */
import { create } from '@bufbuild/protobuf'
import { instanceRecord, type InstanceRecord } from '../platform'
import { MemberSchema, MemberSignSchema, type Member, type MemberSign } from '../rpc'
import type { Sign } from './signs'

/** Encodes a list entry. */
export function encodeMember (record: InstanceRecord): Member {
  return create(MemberSchema, { ...record })
}

/** Decodes list entries; one that this version cannot read is left out. */
export function decodeMembers (members: readonly Member[]): InstanceRecord[] {
  return members.flatMap(({ $typeName, ...fields }) => {
    const parsed = instanceRecord.safeParse(fields)
    return parsed.success ? [parsed.data] : []
  })
}

/** Encodes a sign. */
export function encodeSign (sign: Sign): MemberSign {
  return create(MemberSignSchema, { ...sign, incarnation: BigInt(sign.incarnation) })
}

/** Decodes a sign. */
export function decodeSign (sign: MemberSign): Sign {
  const { id, leaving, address, ttlMs } = sign
  return { id, leaving, address, ttlMs, incarnation: Number(sign.incarnation) }
}
