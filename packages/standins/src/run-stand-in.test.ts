import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

describe('executables', () => {
  for (const [name, flags] of [['log-service', []], ['vm-list', []], ['endpoint', ['--checks', 'false']], ['fault-proxy', ['--target-port', '9']]] as const) {
    it(`${name} prints its address and stops on SIGTERM, so that no process is left behind`, async () => {
      const child = spawn(process.execPath, [fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url)), ...flags], { stdio: ['ignore', 'pipe', 'inherit'] })
      const [line] = await once(child.stdout, 'data')
      const { listening } = JSON.parse(String(line)) as { listening: { host: string, port: number } }
      expect(listening.host).to.equal('127.0.0.1')
      expect(listening.port).to.be.greaterThan(0)
      child.kill('SIGTERM')
      expect(await once(child, 'exit')).to.deep.equal([0, null])
    })
  }

  it('rejects a flag that is not a number, so that a typing error does not run a wrong experiment', async () => {
    const child = spawn(process.execPath, [fileURLToPath(new URL('../bin/endpoint.js', import.meta.url)), '--slots', 'two'], { stdio: 'ignore' })
    expect(await once(child, 'exit')).to.deep.equal([1, null])
  })
})
