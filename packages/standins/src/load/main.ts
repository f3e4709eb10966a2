import { command } from 'cmd-ts'
import { runProgram, VERSION } from 'pimentoplank/shared'

await runProgram(command({ name: 'pimentoplank-load', version: VERSION, args: {}, handler: async () => undefined }))
