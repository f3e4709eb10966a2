/**
 * Crash attribution: which part of the prompts, if any, crashes each target that begins to answer it.
 *
 * Load pattern: requests that share one part arrive at every instance, no two alike, and crash target after target. The
 * prompts of sound requests share their other parts, and some are about to begin on the same targets.
 *
 * Load pattern: many targets are lost at once for another reason. Each loss hits requests that are about to begin, some
 * of them several times as they are retried.
 */

/** A prompt whose answer had not begun when its target crashed. */
export interface CrashedPrompt<Part> {
  /** Identifies the whole prompt. */
  id: Part
  /** Parts that other prompts may share. */
  parts: readonly Part[]
}

/** Crash of a target, with the prompts that may have caused it. */
export interface TargetCrash<Part> {
  target: string | number
  /** Time on a monotonic clock, in milliseconds. */
  at: number
  prompts: ReadonlyArray<CrashedPrompt<Part>>
}

export interface CrashEvidence<Part> {
  crashes: ReadonlyArray<TargetCrash<Part>>
  /** Returns when a prompt with the part was last answered; undefined if that never happened. */
  getAnsweredAt: (part: Part) => number | undefined
}

/** Crashes that convict a part that was never answered. */
const MIN_CRASHES = 3
/** Crashes that convict a part that was answered before the first of them. */
const MIN_CRASHES_ANSWERED_BEFORE = 6
/** Number of different prompts that must have crashed targets; a single one is no evidence against a part. */
const MIN_PROMPTS = 3
/** Crashes within this time are counted as one, as they may have a cause in common, in milliseconds. */
const COINCIDENCE_MS = 100
/** Crashes without the part within this time of one with it suggest another cause, in milliseconds. */
const NEARBY_MS = 1000
/** Number of crashes with the part for each nearby crash without it. */
const MIN_EXPLAINED_RATIO = 0.5

interface Suspect<Part> {
  part: Part
  crashes: Array<TargetCrash<Part>>
  prompts: Map<Part, CrashedPrompt<Part>>
}

/**
 * Finds the part that crashes targets. Such a part is never answered, so that one answer clears a part of all earlier
 * crashes.
 *
 * @returns the part, together with the parts that every crashed prompt with it had as well and that were not answered
 * either; only prompts with all of them are known to crash targets. Undefined if the evidence does not suffice.
 */
export function findCrashingParts<Part extends string | bigint> (evidence: CrashEvidence<Part>): Part[] | undefined {
  const suspects = [...collectSuspects(evidence).values()].filter((suspect) => isLikelyCause(suspect, evidence))
  if (suspects.length === 0) return undefined
  const wasAnswered = ({ part }: Suspect<Part>): number => evidence.getAnsweredAt(part) === undefined ? 0 : 1
  const [first] = suspects.sort((a, b) => wasAnswered(a) - wasAnswered(b) || b.crashes.length - a.crashes.length)
  const prompts = [...first!.prompts.values()]
  const firstAt = Math.min(...first!.crashes.map(({ at }) => at))
  return prompts[0]!.parts.filter((part) =>
    prompts.every(({ parts }) => parts.includes(part)) && (evidence.getAnsweredAt(part) ?? -Infinity) < firstAt)
}

/** Checks whether one prompt, sent again and again, crashes each target that begins to answer it. */
export function isCrashingPrompt<Part> (crashes: ReadonlyArray<TargetCrash<Part>>, id: Part): boolean {
  const own = crashes.filter(({ prompts }) => prompts.some((prompt) => prompt.id === id))
  return countTargets(own) >= MIN_CRASHES && explainsNearby(own, crashes)
}

function collectSuspects<Part> ({ crashes, getAnsweredAt }: CrashEvidence<Part>): Map<Part, Suspect<Part>> {
  const suspects = new Map<Part, Suspect<Part>>()
  for (const crash of crashes) {
    for (const prompt of crash.prompts) {
      for (const part of new Set(prompt.parts)) {
        if ((getAnsweredAt(part) ?? -Infinity) >= crash.at) continue
        const suspect: Suspect<Part> = suspects.get(part) ?? { part, crashes: [], prompts: new Map() }
        if (suspect.crashes.at(-1) !== crash) suspect.crashes.push(crash)
        suspect.prompts.set(prompt.id, prompt)
        suspects.set(part, suspect)
      }
    }
  }
  return suspects
}

function isLikelyCause<Part> (suspect: Suspect<Part>, { crashes, getAnsweredAt }: CrashEvidence<Part>): boolean {
  const needed = getAnsweredAt(suspect.part) === undefined ? MIN_CRASHES : MIN_CRASHES_ANSWERED_BEFORE
  return suspect.prompts.size >= MIN_PROMPTS &&
    countTargets(suspect.crashes) >= needed &&
    countMoments(suspect.crashes) >= needed &&
    explainsNearby(suspect.crashes, crashes)
}

function countTargets (crashes: ReadonlyArray<Pick<TargetCrash<unknown>, 'target'>>): number {
  return new Set(crashes.map(({ target }) => target)).size
}

function countMoments (crashes: ReadonlyArray<Pick<TargetCrash<unknown>, 'at'>>): number {
  let last = -Infinity
  let moments = 0
  for (const at of crashes.map((crash) => crash.at).sort((a, b) => a - b)) {
    if (at - last < COINCIDENCE_MS) continue
    last = at
    moments += 1
  }
  return moments
}

function explainsNearby<Part> (
  explained: ReadonlyArray<TargetCrash<Part>>,
  all: ReadonlyArray<TargetCrash<Part>>
): boolean {
  const others = all.filter((crash) => !explained.includes(crash) &&
    explained.some(({ at }) => Math.abs(at - crash.at) <= NEARBY_MS))
  return explained.length >= others.length * MIN_EXPLAINED_RATIO
}
