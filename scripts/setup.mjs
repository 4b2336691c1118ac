// Installs the locked packages when they are missing or changed, then builds all packages.
import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { createHash } from 'node:crypto'

const stampFile = 'node_modules/.briarsaddle-setup'
const lock = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex')
const installed = existsSync(stampFile) ? readFileSync(stampFile, 'utf8') : ''

if (installed !== lock) {
  execFileSync('npm', ['ci', '--ignore-scripts'], { stdio: 'inherit' })
  writeFileSync(stampFile, lock)
}
execFileSync('node_modules/.bin/tsc', ['-b'], { stdio: 'inherit' })
