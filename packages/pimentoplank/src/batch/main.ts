import { runDaemon } from '../shared'
import { runBatch } from './runBatch'
import { batchSettings } from './settings'

await runDaemon({
  name: 'pimentoplank-batch',
  description: 'Processes batch jobs: claims chunks, runs items in idle slots, commits results.',
  schema: batchSettings,
  run: runBatch
})
