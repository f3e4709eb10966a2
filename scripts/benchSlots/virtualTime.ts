/** Overloads slot owners in virtual time, independent of machine load; prints a JSON line per setting and seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createSlotRig, RIG_SERVICE, type SlotRig } from '../../packages/pimentoplank/features/support/slotRig'
import { slotSchedulerSettings, type SlotSchedulerSettings } from '../../packages/pimentoplank/src/shared'

const OWNERS = 3
const TARGETS = 6
const SLOTS = 6
const ACCOUNTS = 200
const DURATION_MS = 8000
const DEADLINE_MS = 1500
const MEAN_RUN_MS = 400
const RUN_SPREAD_MS = 400
const OVERLOAD = 2
const PROMPT_REFUSAL_MS = 50

const VARIANTS: Record<string, Partial<SlotSchedulerSettings>> = {
  plain: { waitMargin: 1, overtakenMargin: 1 },
  margin: { waitMargin: 2, overtakenMargin: 2 },
  overtaken: { waitMargin: 2, overtakenMargin: 4 }
}

interface Tally {
  useful: number
  late: number
  prompt: number
  refused: number
}

interface RunContext {
  rig: SlotRig
  random: ReturnType<typeof xoroshiro128plus>
  tally: Tally
}

async function request ({ rig, random, tally }: RunContext, holder: string): Promise<void> {
  const { clock } = rig
  const requestedAt = clock.now()
  const account = `account-${Math.floor(uniformFloat64(random) ** 2 * ACCOUNTS)}`
  const runMs = MEAN_RUN_MS + (uniformFloat64(random) - 0.5) * RUN_SPREAD_MS
  const grant = await rig.holders.get(holder)!.part.acquire({
    service: RIG_SERVICE,
    workClass: 'live',
    account,
    weight: 1,
    deadlineMs: DEADLINE_MS,
    prefixHash: 0n,
    excluded: []
  })
  if (grant.isErr()) {
    tally.refused += 1
    if (clock.now() - requestedAt <= PROMPT_REFUSAL_MS) tally.prompt += 1
    return
  }
  await clock.sleep(runMs)
  if (clock.now() - requestedAt <= DEADLINE_MS) tally.useful += 1
  else tally.late += 1
  grant.value.release({ result: 'done' })
}

async function run (name: string, seed: number): Promise<void> {
  const ownerSettings = slotSchedulerSettings.parse({ ...VARIANTS[name], limit: 'fixed' })
  const rig = await createSlotRig({ owners: OWNERS, targets: TARGETS, slots: SLOTS, settings: ownerSettings })
  const random = xoroshiro128plus(seed)
  const holders = ['a', 'b', 'c']
  for (const holder of holders) rig.addHolder(holder)
  const tally: Tally = { useful: 0, late: 0, prompt: 0, refused: 0 }
  const gapMs = MEAN_RUN_MS / (TARGETS * SLOTS) / OVERLOAD
  const open: Promise<void>[] = []
  const endAt = rig.clock.now() + DURATION_MS
  while (rig.clock.now() < endAt) {
    await rig.clock.advance(-Math.log(1 - uniformFloat64(random)) * gapMs)
    open.push(request({ rig, random, tally }, holders[open.length % holders.length]!))
  }
  await rig.clock.advance(2 * DEADLINE_MS)
  await Promise.all(open)
  const idealCount = DURATION_MS * TARGETS * SLOTS / MEAN_RUN_MS
  console.log(JSON.stringify({
    name,
    seed,
    ...tally,
    usefulShare: tally.useful / idealCount,
    promptShare: tally.prompt / tally.refused
  }))
  await rig.close()
}

for (const seed of [1, 2, 3]) {
  for (const name of Object.keys(VARIANTS)) await run(name, seed)
}
