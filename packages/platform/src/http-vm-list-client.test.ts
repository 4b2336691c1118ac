import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { errorCode } from '@briarsaddle/common'
import { HttpVmListClient } from './http-vm-list-client.js'

describe('HttpVmListClient', () => {
  const vm = { id: 'a', role: 'endpoint', pool: 'ledger', dataCentre: 'east', host: '127.0.0.1', port: 80, checks: true, state: 'live' }

  for (const [name, body, expected] of [
    ['accepts a valid list', [vm], 'fetched'],
    ['rejects a list with an unknown role, so that no VM is used in a wrong role', [{ ...vm, role: 'other' }], 'vm_list_unavailable'],
    ['reports a service that does not answer in time', undefined, 'vm_list_unavailable']
  ] as const) {
    it(name, async () => {
      const server = createServer((_request, response) => { if (body !== undefined) response.end(JSON.stringify(body)) })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const client = new HttpVmListClient({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, timeoutMilliseconds: 200 })
      expect(await client.fetch().then(() => 'fetched', errorCode)).to.equal(expected)
      await client.close()
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    })
  }

  // Guards against work for each poll of an unchanged list, and against a missed change.
  it('returns the same object until the text of the list changes, then the new list', async () => {
    let listed = [vm]
    const server = createServer((_request, response) => response.end(JSON.stringify(listed)))
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const client = new HttpVmListClient({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
    const first = await client.fetch()
    expect(await client.fetch()).to.equal(first)
    listed = [{ ...vm, state: 'leaving' }]
    expect((await client.fetch()).map(({ state }) => state)).to.deep.equal(['leaving'])
    await client.close()
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  })
})
