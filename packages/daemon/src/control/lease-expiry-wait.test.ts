import { expect } from 'chai'
import { delay, MonotonicClock } from '@briarsaddle/common'
import { initialState } from '@briarsaddle/ownership'
import type { ConfirmRequest, ConfirmResponse, PeerPool } from '@briarsaddle/protocol'
import type { LogFollower } from './log-follower.js'
import { LeaseExpiryWait } from './lease-expiry-wait.js'
import { WitnessPoll } from './witness-poll.js'
import type { Witness } from './witness.js'

const offset = 5
const leaseOptions = { leaseDuration: 500, margin: 0.02 }

describe('wait for the expiry of leases', () => {
  it('notices the majority at once although a witness does not respond, so that a paused VM does not prolong the wait', async () => {
    const clock = new MonotonicClock()
    const readAt = clock.now() + 30
    const answer = async (_request?: ConfirmRequest): Promise<ConfirmResponse> => ({ ready: true, position: clock.now() < readAt ? offset - 1 : offset, outdated: [], quietMilliseconds: [0] })
    const silent = async (_request: ConfirmRequest, timeoutMilliseconds: number): Promise<never> => {
      await delay(timeoutMilliseconds)
      throw new Error('no answer')
    }
    const peers = { get: (vm: string) => ({ confirm: vm === 'vm-3' ? silent : answer }) } as unknown as PeerPool
    const state = { ...initialState(), witnesses: { ...initialState().witnesses, version: 0, vms: ['vm-1', 'vm-2', 'vm-3'] } }
    const poll = new WitnessPoll({ self: 'vm-1', witness: { answer } as unknown as Witness, peers })
    const wait = new LeaseExpiryWait({ follower: { state } as unknown as LogFollower, poll, clock, leaseOptions })
    const expiry = await wait.expiry('ponds-1', offset, false, new AbortController().signal)
    // A round that waited for the silent witness would end 200 ms after the first request.
    expect((expiry ?? Infinity) - readAt).to.be.within(510, 510 + 150)
  })
})
