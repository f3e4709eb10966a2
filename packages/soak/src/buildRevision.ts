/** Builds the programs of an earlier commit, so that they can run beside the present ones. */
import { execFileSync } from 'node:child_process'
import { existsSync, lstatSync, mkdirSync, readdirSync, readlinkSync, rmSync, symlinkSync } from 'node:fs'
import { resolve } from 'node:path'

const MAX_ARCHIVE_BYTES = 2 ** 30

/** Links the dependencies; links of workspaces are relative, so that they lead to the packages of the revision. */
function linkModules (from: string, to: string): void {
  mkdirSync(to, { recursive: true })
  for (const name of readdirSync(from)) {
    const source = resolve(from, name)
    const isLink = lstatSync(source).isSymbolicLink()
    if (name.startsWith('@')) linkModules(source, resolve(to, name))
    else symlinkSync(isLink ? readlinkSync(source) : source, resolve(to, name))
  }
}

/**
 * Extracts the files of a commit below `target/revisions`, with the dependencies that are installed here.
 *
 * @returns the folder of the files
 */
export function extractRevision (commit: string): string {
  const folder = resolve('target/revisions', commit)
  if (existsSync(resolve(folder, 'node_modules'))) return folder
  rmSync(folder, { recursive: true, force: true })
  mkdirSync(folder, { recursive: true })
  const files = execFileSync('git', ['archive', commit], { maxBuffer: MAX_ARCHIVE_BYTES })
  execFileSync('tar', ['-x', '-C', folder], { input: files })
  linkModules(resolve('node_modules'), resolve(folder, 'node_modules'))
  return folder
}

/**
 * Builds the platform's programs of a commit.
 *
 * @returns the folder of the programs
 */
export function buildRevision (commit: string): string {
  const folder = extractRevision(commit)
  const programs = resolve(folder, 'target')
  if (existsSync(resolve(programs, 'pimentoplank-entry.cjs'))) return programs
  execFileSync(process.execPath, ['scripts/build.mjs', 'platform'], { cwd: folder, stdio: 'inherit' })
  return programs
}
