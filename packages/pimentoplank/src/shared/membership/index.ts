export type { Instance, LeavingReason, MembershipView, Target } from './types'
export { createStaticMembership } from './staticMembership'
export {
  createMembershipFollower, MEMBERSHIP_TIMINGS,
  type MembershipFollower, type MembershipFollowerOptions, type MembershipTimings
} from './membershipFollower'
