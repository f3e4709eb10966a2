/** Applies a release note by the operators' command line. */
import { execFile } from 'node:child_process'
import path from 'node:path'
import { promisify } from 'node:util'
import type { Deployment } from './deployment'

const run = promisify(execFile)

/**
 * Applies a release note; throws when the command fails, since only development scripts call it.
 *
 * @param file - release note
 * @returns what the command printed
 */
export async function applyNote (deployment: Deployment, file: string): Promise<string> {
  const cli = path.resolve('packages/pimentoplank/dist/pimentoplank.js')
  const { stdout } = await run(process.execPath, [cli, 'apply', file, '--config', deployment.cliSettings])
  return stdout.trim()
}
