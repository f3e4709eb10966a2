/** Options that several commands share. */
import { flag, option, string } from 'cmd-ts'

export const configOption = option({
  type: string,
  long: 'config',
  description: 'Settings file of the command line (JSON).'
})

export const jsonFlag = flag({ long: 'json', description: 'Print JSON.' })
