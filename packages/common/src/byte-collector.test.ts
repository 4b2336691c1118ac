import { expect } from 'chai'
import { ByteCollector } from './byte-collector.js'
import { Random } from './random.js'

describe('ByteCollector', () => {
  // Guards against parts in the wrong order when copied and kept parts alternate.
  it('returns the parts in their order, whatever their sizes', () => {
    const random = new Random(1)
    for (let run = 0; run < 200; run++) {
      const collector = new ByteCollector()
      const parts = Array.from({ length: random.integer(1, 30) }, () => {
        const read = Buffer.from(Uint8Array.from({ length: random.integer(1, 5_000) }, () => random.integer(0, 255)))
        const start = random.integer(0, read.length - 1)
        return read.subarray(start, start + random.integer(0, read.length - start))
      })
      for (const part of parts) {
        const before = collector.capacity
        const growth = collector.growth(part)
        collector.add(part)
        expect(collector.capacity).to.equal(before + growth)
      }
      expect(collector.length).to.be.at.most(collector.capacity)
      expect(collector.take().equals(Buffer.concat(parts))).to.equal(true)
      expect(collector.capacity).to.equal(0)
    }
  })

  // Guards against a body in parts of one byte that takes a hundred times its length in memory.
  it('uses little more memory than the length of the body for parts of one byte', () => {
    const collector = new ByteCollector()
    const read = Buffer.alloc(64 * 1024, 'x')
    for (let index = 0; index < 1_000_000; index++) collector.add(read.subarray(index % 1_000, index % 1_000 + 1))
    expect(collector.capacity).to.be.within(1_000_000, 1_100_000)
    expect(collector.take().length).to.equal(1_000_000)
    for (let index = 0; index < 10_000; index++) collector.add(Buffer.from(Uint8Array.of(1)))
    expect(collector.capacity).to.be.within(10_000, 30_000)
  })
})
