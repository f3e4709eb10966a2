import { subcommands } from 'cmd-ts'
import { runProgram, VERSION } from '../shared'
import { apply } from './commands/apply'
import { cancel } from './commands/cancel'
import { check } from './commands/check'
import { diff } from './commands/diff'
import { drain } from './commands/drain'
import { explain } from './commands/explain'
import { jobs } from './commands/jobs'
import { key } from './commands/key'
import { schema } from './commands/schema'
import { status } from './commands/status'

await runProgram(subcommands({
  name: 'pimentoplank',
  description: 'Operators\' command line. Exit codes: 0 success, 1 failure, 2 invalid usage or settings.',
  version: VERSION,
  cmds: { apply, cancel, check, diff, drain, explain, jobs, key, schema, status }
}))
