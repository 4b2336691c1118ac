import { expect } from 'chai'
import { MonotonicClock, Random } from '@briarsaddle/common'
import type { EndpointEntry } from '../endpoint-entry.js'
import { PoolChooser } from './pool-chooser.js'

const entry = (id: string): EndpointEntry => ({ id, pool: 'desk', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 })

describe('PoolChooser', () => {
  // Guards against requests that arrive together, are all chosen for before the first is sent, and then wait for one endpoint while others have free slots.
  it('chooses no endpoint whose slots are taken by requests that were chosen for but not sent yet', () => {
    const chooser = new PoolChooser('a', new MonotonicClock(), new Random(1))
    const endpoints = Array.from({ length: 6 }, (_, index) => entry(`desk-${index}`))
    const chosen = Array.from({ length: 12 }, () => chooser.choose('desk', endpoints, new Set())?.id)
    for (const { id } of endpoints) expect(chosen.filter(other => other === id)).to.have.length(2)
  })
})
