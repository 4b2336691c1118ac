import { expect } from 'chai'
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const buf = fileURLToPath(new URL('../../../node_modules/.bin/buf', import.meta.url))
const rules = JSON.stringify({ version: 'v2', modules: [{ path: 'proto' }], breaking: { use: ['WIRE'] } })

function findBreaks (schema: string): string {
  const { status, stdout, stderr, error } = spawnSync(buf, ['breaking', '.', '--against', `compatibility/${schema}`, '--config', rules], { cwd: root, encoding: 'utf8' })
  return error !== undefined || status !== 0 ? `${error?.message ?? ''}${stdout}${stderr}` || `exit code ${status}` : ''
}

// Guards against a message that VMs of a former build cannot read, or read as something else, while VMs are replaced one after the other.
describe('Messages between VMs of different builds', function () {
  this.timeout(20_000)
  for (const schema of readdirSync(`${root}compatibility`)) {
    it(`are compatible with those of ${schema.replace('.binpb', '')}`, () => {
      expect(findBreaks(schema), 'add a field with a new number instead of changing or reusing one, and reserve the number of a field that is removed').to.equal('')
    })
  }
})
