import { command, subcommands } from 'cmd-ts'
import { runProgram, VERSION } from '../shared'

const check = command({ name: 'check', args: {}, handler: async () => undefined })

await runProgram(subcommands({ name: 'pimentoplank', version: VERSION, cmds: { check } }))
