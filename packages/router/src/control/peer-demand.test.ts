import { expect } from 'chai'
import { delay } from '@briarsaddle/common'
import type { EndpointKeyLoad, FetchKeyLoadsResponse } from '@briarsaddle/protocol'
import { PeerDemand, type DemandPeers } from './peer-demand.js'

const answerMilliseconds = 5

function report (vm: string): FetchKeyLoadsResponse {
  const endpoint: EndpointKeyLoad = { endpoint: `endpoint of ${vm}`, busySlots: 1, queued: 0, requestsPerSecond: 0, serviceMilliseconds: 100, keys: [] }
  return { keyMapPosition: 0, routingVersion: 0, endpoints: [endpoint], watchers: [], leaving: false, poisonRequests: '', cutOffPools: [], reachedPools: [], load: undefined }
}

/** VMs that answer after a few milliseconds, or not at all. */
class Peers implements DemandPeers {
  readonly vms = Array.from({ length: 84 }, (_, index) => `vm-${index}`)
  readonly silent = new Set<string>()
  asked = 0
  mostAsked = 0

  get (vm: string): { fetchKeyLoads: () => Promise<FetchKeyLoadsResponse> } {
    return { fetchKeyLoads: async () => await this.#answer(vm) }
  }

  async #answer (vm: string): Promise<FetchKeyLoadsResponse> {
    this.asked++
    this.mostAsked = Math.max(this.mostAsked, this.asked)
    await delay(answerMilliseconds)
    this.asked--
    if (this.silent.has(vm)) throw new Error('no answer')
    return report(vm)
  }
}

describe('PeerDemand', () => {
  const own = { fetchKeyLoads: async () => report('self') }
  const readPositions = { own: { keyMapPosition: 0, routingVersion: 0 }, observePeer: () => {} }
  let peers: Peers
  let demand: PeerDemand

  beforeEach(() => {
    peers = new Peers()
    demand = new PeerDemand(peers, own, readPositions, { applyRound: () => {} }, { merge: () => {} })
  })

  // Guards against lost connections when dozens of VMs answer a leader with a third of a core at the same time.
  it('asks all VMs, but few at a time (connections closed because answers were read late)', async () => {
    const collected = await demand.collect()
    expect(collected.size).to.equal(peers.vms.length + 1)
    expect(peers.mostAsked).to.be.at.most(12)
  })

  // A key in two reports stood twice in the demand, and the plan cut an empty range in front of it.
  it('adds up the reports of two VMs on one endpoint, key by key', async () => {
    const load = (busySlots: number, serviceMilliseconds: number, keys: EndpointKeyLoad['keys']): EndpointKeyLoad => ({ endpoint: 'e', busySlots, queued: 0, requestsPerSecond: 0, serviceMilliseconds, keys })
    const reports = [load(1, 100, [{ key: 5, busySlots: 0.5 }, { key: 6, busySlots: 0.5 }]), load(3, 200, [{ key: 5, busySlots: 1.5 }]), load(0, 0, [])]
    const both: DemandPeers = { vms: ['vm-1', 'vm-2'], get: vm => ({ fetchKeyLoads: async () => ({ ...report(vm), endpoints: [reports[vm === 'vm-1' ? 1 : 2] as EndpointKeyLoad] }) }) }
    const self = { fetchKeyLoads: async () => ({ ...report('self'), endpoints: [reports[0] as EndpointKeyLoad] }) }
    const collected = await new PeerDemand(both, self, readPositions, { applyRound: () => {} }, { merge: () => {} }).collect()
    expect(collected.get('e')).to.deep.equal({ busySlots: 4, serviceMilliseconds: 175, keys: [{ key: 5, busySlots: 2 }, { key: 6, busySlots: 0.5 }] })
  })

  it('takes the lowest of the slots that a limit allows, when two VMs report on one endpoint', async () => {
    const load = (usableSlots: number | undefined): EndpointKeyLoad => ({ endpoint: 'e', busySlots: 1, queued: 0, requestsPerSecond: 0, serviceMilliseconds: 100, keys: [], usableSlots })
    const both: DemandPeers = { vms: ['vm-1', 'vm-2'], get: vm => ({ fetchKeyLoads: async () => ({ ...report(vm), endpoints: [load(vm === 'vm-1' ? 0.4 : 0.2)] }) }) }
    const self = { fetchKeyLoads: async () => ({ ...report('self'), endpoints: [load(undefined)] }) }
    expect((await new PeerDemand(both, self, readPositions, { applyRound: () => {} }, { merge: () => {} }).collect()).get('e')).to.include({ usableSlots: 0.2 })
  })

  it('collects the demand of the other VMs when some do not answer', async () => {
    for (const vm of peers.vms.slice(0, 20)) peers.silent.add(vm)
    expect((await demand.collect()).size).to.equal(peers.vms.length + 1 - 20)
  })
})
