import { expect } from 'chai'
import { emptyKeyMap, encodeKeyMap } from '@briarsaddle/key-ranges'
import type { FetchControlRequest, FetchControlResponse } from '@briarsaddle/protocol'
import { PeerKeyMaps } from './other-key-maps.js'

const answer = (keyMap: string): FetchControlResponse => ({ keyMapPosition: 0, keyMap, routingVersion: 0, routingTable: '' })

describe('PeerKeyMaps', () => {
  function ask (answers: Readonly<Record<string, () => Promise<FetchControlResponse>>>, requests: FetchControlRequest[] = []): PeerKeyMaps {
    const get = (vm: string): { readonly fetchControl: (request: FetchControlRequest) => Promise<FetchControlResponse> } => ({
      fetchControl: async request => {
        requests.push(request)
        return await (answers[vm] as () => Promise<FetchControlResponse>)()
      }
    })
    return new PeerKeyMaps({ vms: Object.keys(answers), get: get as never })
  }

  it('names its position and token to every VM, and returns only the maps with a higher token', async () => {
    const requests: FetchControlRequest[] = []
    const newer = { ...emptyKeyMap, fence: 9, author: 'vm-3' }
    const { maps, allAnswered } = await ask({ 'vm-2': async () => answer(''), 'vm-3': async () => answer(encodeKeyMap(newer)) }, requests).collect(40, 7)
    expect(maps).to.deep.equal([newer])
    expect(allAnswered).to.equal(true)
    for (const request of requests) expect(request).to.include({ knownPosition: 40, knownFence: 7 })
  })

  // Guards against grants before those of a former leader have run out: a VM that did not answer may be that leader.
  it('tells when a VM did not answer, or sent something that is no key map', async () => {
    expect(await ask({ 'vm-2': async () => answer(''), 'vm-3': async () => { throw new Error('no connection') } }).collect(1, 0)).to.deep.equal({ maps: [], allAnswered: false })
    expect(await ask({ 'vm-2': async () => answer('{') }).collect(1, 0)).to.deep.equal({ maps: [], allAnswered: false })
  })
})
