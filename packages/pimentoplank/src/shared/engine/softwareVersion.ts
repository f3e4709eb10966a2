/** Versions of the software that targets run, which can't continue each other's streams. */
import type { MembershipView, Target } from '../membership'
import type { EngineStream } from './types'

/** Software version of a run; without either field, that of the targets that tell none. */
export interface RunVersion {
  /** As stated in the head of the run's stream. */
  stated?: string
  /** As listed for the target when the run began. */
  listed?: string
}

/** Returns the version of a run that begins on a target now. */
export function findRunVersion (
  membership: Pick<MembershipView, 'target'>,
  target: Target,
  stream: Pick<EngineStream, 'softwareVersion'>
): RunVersion {
  return { stated: stream.softwareVersion, listed: (membership.target(target.id) ?? target).softwareVersion }
}

/** Whether a target that is listed with this version, if any, can continue a run. */
export function isListedVersion (run: RunVersion, listed: string | undefined): boolean {
  return listed === (listed === undefined ? run.listed : run.stated ?? run.listed)
}

/** Whether a stream whose head states this version, if any, can continue a run. */
export function isStatedVersion (run: RunVersion, stated: string | undefined): boolean {
  return stated === undefined || stated === (run.stated ?? run.listed)
}

/** Whether a target, as listed now, can continue a run. */
export function canContinueOn (
  membership: Pick<MembershipView, 'target'>,
  target: Target,
  run: RunVersion
): boolean {
  return isListedVersion(run, (membership.target(target.id) ?? target).softwareVersion)
}

/** Returns the ids of the targets of a service that can't continue a run. */
export function findOtherVersions (
  membership: Pick<MembershipView, 'targets'>,
  service: string,
  run: RunVersion
): string[] {
  return membership.targets(service).filter((target) => !isListedVersion(run, target.softwareVersion))
    .map(({ id }) => id)
}
