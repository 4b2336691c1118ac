// Runs all tests except those that KNOWN-RED.txt names, and prints the names that were passed over. Two groups of about the same
// duration run side by side; the output of the second is printed after that of the first.
import { spawn } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

const knownRedFile = 'KNOWN-RED.txt'
const lines = existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8').split('\n') : []
const knownRed = lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
const escape = text => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')
const exclusion = knownRed.length === 0 ? [] : ['--invert', '--grep', `^(${knownRed.map(escape).join('|')})$`]

for (const title of knownRed) console.log(`known red, not run: ${title}`)

// Arguments choose the tests of one run.
const chosen = process.argv.slice(2)
const groups = chosen.length > 0 ? [chosen] : ['packages', 'platform'].map(folder => ['--no-config', '--exit', '--timeout', '20000', `${folder}/**/dist/**/*.test.js`, '--ignore', '**/node_modules/**'])

function run (options, isFirst) {
  return new Promise(resolve => {
    const mocha = spawn('node_modules/.bin/mocha', [...exclusion, ...options], { stdio: ['ignore', isFirst ? 'inherit' : 'pipe', 'inherit'] })
    const output = []
    mocha.stdout?.on('data', data => output.push(data))
    mocha.once('close', status => resolve({ status, output }))
  })
}

const results = await Promise.all(groups.map((options, index) => run(options, index === 0)))
for (const { output } of results) for (const data of output) process.stdout.write(data)
process.exitCode = results.every(({ status }) => status === 0) ? 0 : 1
