import { expect } from 'chai'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { executables } from '../bed/paths.js'

describe('Commands whose output nobody reads', () => {
  // Guards against a stack trace after `briarsaddle --help | head`.
  for (const name of ['cli', 'load', 'daemon'] as const) {
    it(`end quietly: ${name}`, async () => {
      const child = spawn(process.execPath, [executables[name], '--help'], { stdio: ['ignore', 'pipe', 'pipe'] })
      let errors = ''
      child.stderr.on('data', data => { errors += String(data) })
      // Closed before the command has started to write.
      child.stdout.destroy()
      const [code] = await once(child, 'close') as [number]
      expect(errors).to.equal('')
      expect(code).to.equal(0)
    })
  }
})
