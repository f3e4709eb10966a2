/** Runs the operators' command-line program as a child process. */
import { execFile } from 'node:child_process'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import type { FaultTestbed } from './deploy'

const PROGRAM = fileURLToPath(new URL('../../pimentoplank/dist/pimentoplank.js', import.meta.url))

export interface CliOutcome {
  code: number
  stdout: string
  stderr: string
}

/**
 * Runs a command and collects its output.
 *
 * @param testbed - deployment that the command connects to
 * @param args - command and arguments
 * @param file - content of a JSON file passed as the first argument, such as a release note
 */
export async function runCli (
  testbed: Pick<FaultTestbed, 'deployment'>,
  args: readonly string[],
  file?: object
): Promise<CliOutcome> {
  const [command, ...rest] = args
  const files = file === undefined ? [] : [await writeJson(file)]
  const argv = [PROGRAM, command!, ...files, ...rest, '--config', testbed.deployment.cliSettings]
  return await new Promise((resolve) => {
    execFile(process.execPath, argv, (cause, stdout, stderr) => {
      const code = cause === null ? 0 : Number(cause.code ?? 1)
      resolve({ code, stdout, stderr })
    })
  })
}

async function writeJson (content: object): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), 'pimentoplank-note-'))
  const file = path.join(folder, 'note.json')
  await writeFile(file, JSON.stringify(content))
  return file
}
