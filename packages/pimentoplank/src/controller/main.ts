import { runDaemon } from '../shared'
import { runController } from './runController'
import { controllerSettings } from './settings'

await runDaemon({
  name: 'pimentoplank-controller',
  description: 'Makes the fleet follow the configuration. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.',
  schema: controllerSettings,
  run: runController
})
