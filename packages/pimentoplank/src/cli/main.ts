import { runProgram } from '../shared'
import { cli } from './commands'

await runProgram(cli)
