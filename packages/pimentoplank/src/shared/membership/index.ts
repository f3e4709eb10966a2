export type { Instance, LeavingSign, MembershipView, Target } from './types'
export { createStaticMembership } from './staticMembership'
