/** The commands of the operators' command line. */
import { createHash, randomBytes } from 'node:crypto'
import { command, flag, oneOf, option, optional, positional, restPositionals, string, subcommands } from 'cmd-ts'
import { EXIT_USAGE, VERSION } from '../shared'
import { checkFile, schemaOf } from './check'
import { withConnections } from './connections'
import { cancelJob, showJobs } from './jobs'
import { fail, print, printJson } from './output'
import { FILE_KINDS } from './programs'
import { applyFile, diffFile, openLog } from './release'
import { drainInstance, showStatus } from './status'

const KEY_BYTES = 24

const config = option({ type: string, long: 'config', description: 'Settings file of the command line (JSON).' })
const json = flag({ long: 'json', description: 'Print JSON.' })
const note = positional({ type: string, displayName: 'NOTE', description: 'Release note (JSON).' })

const check = command({
  name: 'check',
  description: 'Checks settings files and release notes without starting anything.',
  args: {
    program: option({ type: optional(oneOf(FILE_KINDS)), long: 'program', description: `Kind of file: ${FILE_KINDS.join(', ')}.` }),
    files: restPositionals({ type: string, displayName: 'FILE' })
  },
  handler: async ({ program, files }) => {
    if (files.length === 0) return fail('no files named', EXIT_USAGE)
    for (const file of files) {
      const checked = await checkFile(file, program)
      if (checked.isOk()) print(`${file}: valid ${checked.value} file`)
      else fail(checked.error.message, EXIT_USAGE)
    }
  }
})

const schema = command({
  name: 'schema',
  description: 'Prints the JSON Schema of a kind of file, for editors.',
  args: { program: positional({ type: oneOf(FILE_KINDS), displayName: 'PROGRAM' }) },
  handler: ({ program }) => printJson(schemaOf(program))
})

const apply = command({
  name: 'apply',
  description: 'Puts a release note in force, or changes nothing and prints what others changed.',
  args: { config, note },
  handler: async (args) => await withConnections(args.config, async ({ platform }) => {
    await applyFile(args.note, openLog(platform))
  })
})

const diff = command({
  name: 'diff',
  description: 'Prints what a release note would change.',
  args: { config, note },
  handler: async (args) => await withConnections(args.config, async ({ platform }) => {
    await diffFile(args.note, openLog(platform))
  })
})

const status = command({
  name: 'status',
  description: 'Prints the status of every instance.',
  args: { config, json },
  handler: async (args) => await withConnections(args.config, async ({ platform, peers }) => {
    await showStatus(platform, peers, args.json)
  })
})

const jobs = command({
  name: 'jobs',
  description: 'Lists batch jobs.',
  args: { config, json },
  handler: async (args) => await withConnections(args.config, async ({ settings }) => {
    await showJobs(settings, args.json)
  })
})

const cancel = command({
  name: 'cancel',
  description: 'Cancels a batch job.',
  args: { config, job: positional({ type: string, displayName: 'JOB' }) },
  handler: async (args) => await withConnections(args.config, async ({ settings }) => {
    await cancelJob(settings, args.job)
  })
})

const drain = command({
  name: 'drain',
  description: 'Makes an instance leave, as SIGTERM does.',
  args: { config, instance: positional({ type: string, displayName: 'INSTANCE' }) },
  handler: async (args) => await withConnections(args.config, async ({ platform, peers }) => {
    await drainInstance(args.instance, platform, peers)
  })
})

const key = command({
  name: 'key',
  description: 'Makes a new account key, and the hash of it for a release note.',
  args: {},
  handler: () => {
    const secret = randomBytes(KEY_BYTES).toString('base64url')
    printJson({ key: secret, keyHash: createHash('sha256').update(secret).digest('hex') })
  }
})

export const cli = subcommands({
  name: 'pimentoplank',
  description: 'Operators\' command line. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.',
  version: VERSION,
  cmds: { check, schema, apply, diff, status, jobs, cancel, drain, key }
})
