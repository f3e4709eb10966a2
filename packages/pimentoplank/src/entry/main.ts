import { runDaemon } from '../shared'
import { runEntry } from './runEntry'
import { entrySettings } from './settings'

await runDaemon({
  name: 'pimentoplank-entry',
  description: 'Serves callers: instance directory, live requests, plain services and batch jobs.',
  schema: entrySettings,
  run: runEntry
})
