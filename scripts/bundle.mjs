// Bundles the program for the platform into target/, so that a VM starts with one file, and keeps its compiled code beside it.
import { spawnSync } from 'node:child_process'
import { readdirSync, readFileSync, rmSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'
import { parse } from 'smol-toml'

// The sources themselves, so that nothing has to be built before.
const alias = Object.fromEntries(readdirSync('packages').map(name => [`@briarsaddle/${name}`, resolve('packages', name, 'src/index.ts')]))

// The commit, which each VM states in its first log line, its metrics and its state; unknown in a copy without the history.
const { stdout: commit } = spawnSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' })

await build({
  entryPoints: ['platform/src/start.ts'],
  outfile: 'target/program.cjs',
  bundle: true,
  alias,
  define: { BRIARSADDLE_BUILD: JSON.stringify(commit?.trim() || 'unknown') },
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // A restarted VM serves again sooner when there is less to parse. Names stay, since errors show them.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning'
})

// V8 takes compiled code only when its flags are the same.
const [node, ...words] = parse(readFileSync('deploy/system.toml', 'utf8')).roles.router.run.split(' ')
const flags = words.filter(word => word.startsWith('--'))
rmSync('target/program.cjs.cache', { force: true })
const badSettingsExitCode = 2
const { status, stderr } = spawnSync(node, [...flags, 'platform/bin/keep-compiled.cjs'], { encoding: 'utf8', env: { ...process.env, BRIARSADDLE_BOOT: '' } })
if (status !== badSettingsExitCode) throw new Error(`the compiled code was not kept: exit code ${status}: ${stderr}`)
