/** Software versions at which items may go on. */
import {
  canContinueOn, findOtherVersions, type MembershipView, type ResumePoint, type RunVersion, type Target
} from '../shared'

/** Text of an item so far and the software version that generated it. */
export type BegunText = Pick<ResumePoint, 'tokens' | 'softwareVersion'>

/** Returns the text that a stream with these tokens has begun; undefined when it has none. */
export function getBegunText (tokens: number, softwareVersion: RunVersion): BegunText | undefined {
  return tokens === 0 ? undefined : { tokens, softwareVersion }
}

/** Returns the ids of the targets that can't continue the text. */
export function findUnfitTargets (
  membership: MembershipView,
  service: string,
  begun: BegunText | undefined
): string[] {
  return begun === undefined || begun.tokens === 0 ? [] : findOtherVersions(membership, service, begun.softwareVersion)
}

/** Whether a target can continue the text, as far as the list tells now. */
export function isFitTarget (membership: MembershipView, target: Target, begun: BegunText | undefined): boolean {
  return begun === undefined || begun.tokens === 0 || canContinueOn(membership, target, begun.softwareVersion)
}

/** Whether any listed target can continue the text. */
export function isFitTargetLeft (membership: MembershipView, service: string, begun: BegunText | undefined): boolean {
  const unfit = findUnfitTargets(membership, service, begun)
  return unfit.length === 0 || membership.targets(service).some(({ id }) => !unfit.includes(id))
}
