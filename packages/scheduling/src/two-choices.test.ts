import { ManualClock, Random } from '@briarsaddle/common'
import { expect } from 'chai'
import { TwoChoices } from './two-choices.js'

const candidates = ['a', 'b', 'c', 'd']
const good = { outstanding: 0, milliseconds: 10 as number | undefined, failed: false }

function setUp (): { readonly clock: ManualClock, readonly chooser: TwoChoices, readonly serve: (endpoint: string, end?: Partial<typeof good>, times?: number) => void } {
  const clock = new ManualClock()
  const chooser = new TwoChoices({ clock, random: new Random(7) })
  const serve = (endpoint: string, end: Partial<typeof good> = {}, times = 10): void => {
    for (let index = 0; index < times; index++) {
      chooser.started(endpoint)
      chooser.finished(endpoint, { ...good, ...end })
    }
  }
  for (const candidate of candidates) serve(candidate)
  return { clock, chooser, serve }
}

describe('TwoChoices', () => {
  it('avoids an endpoint that was reported busy, but only for a while, since an old report would never be corrected otherwise', () => {
    const { clock, chooser, serve } = setUp()
    serve('a', { outstanding: 50 }, 1)
    expect(Array.from({ length: 100 }, () => chooser.choose(candidates))).not.to.include('a')
    clock.advance(5000)
    expect(Array.from({ length: 100 }, () => chooser.choose(candidates))).to.include('a')
  })

  // Guards against a recovered endpoint that gets no requests, because refusals, which carry no report of outstanding requests,
  // were counted as outstanding until the next answer.
  it('chooses an endpoint again after it refused requests without a report', () => {
    const { chooser, serve } = setUp()
    for (let index = 0; index < 20; index++) {
      chooser.started('a')
      chooser.finished('a', { milliseconds: 1, failed: false })
    }
    for (const candidate of ['b', 'c', 'd']) serve(candidate, { outstanding: 3 }, 1)
    expect(Array.from({ length: 100 }, () => chooser.choose(candidates))).to.include('a')
  })

  // Guards against refusals, which take milliseconds, being counted as fast answers, so that every answer after a wait is slow.
  it('does not eject the only endpoint that answers while the others refuse', () => {
    const { chooser, serve } = setUp()
    for (let round = 0; round < 200; round++) {
      serve('a', { milliseconds: 40 }, 1)
      for (const candidate of ['b', 'c', 'd']) serve(candidate, { outstanding: 9, milliseconds: undefined }, 1)
    }
    expect(chooser.snapshot()['a']).to.include({ asideMilliseconds: 0 })
  })

  it('counts requests sent since the last report, so that a burst does not go to one endpoint', () => {
    const { chooser } = setUp()
    const counts: Record<string, number> = {}
    for (let index = 0; index < 100; index++) {
      const endpoint = chooser.choose(candidates) as string
      chooser.started(endpoint)
      counts[endpoint] = (counts[endpoint] ?? 0) + 1
    }
    expect(Math.max(...Object.values(counts)) - Math.min(...Object.values(counts))).to.be.lessThan(10)
  })

  it('ejects a failing or slow endpoint, probes it with a single request, and waits longer after each failed probe', () => {
    for (const bad of [{ failed: true }, { milliseconds: 500 }]) {
      const { clock, chooser, serve } = setUp()
      serve('a', bad)
      const timesBetweenProbes: number[] = []
      for (let probe = 0; probe < 3; probe++) {
        let waited = 0
        while (chooser.choose(candidates) !== 'a') {
          clock.advance(100)
          waited += 100
        }
        timesBetweenProbes.push(waited)
        chooser.started('a')
        expect(Array.from({ length: 50 }, () => chooser.choose(candidates)), 'a second probe').not.to.include('a')
        chooser.finished('a', { ...good, ...bad })
      }
      expect(timesBetweenProbes).to.deep.equal([1000, 2000, 4000])
    }
  })

  it('uses an ejected endpoint again after a successful probe', () => {
    const { clock, chooser, serve } = setUp()
    serve('a', { failed: true })
    clock.advance(1001)
    expect(chooser.choose(candidates)).to.equal('a')
    serve('a', {}, 1)
    expect(Array.from({ length: 100 }, () => chooser.choose(candidates)).filter(choice => choice === 'a').length).to.be.greaterThan(10)
  })

  it('ejects at most half of the candidates, so that the others are not overloaded', () => {
    const { chooser, serve } = setUp()
    for (const endpoint of ['a', 'b', 'c']) serve(endpoint, { failed: true }, 30)
    const chosen = new Set(Array.from({ length: 200 }, () => chooser.choose(candidates)))
    expect(chosen.size).to.be.at.least(2)
  })

  it('does not choose an excluded candidate, and returns undefined when all are excluded', () => {
    const { chooser } = setUp()
    expect(chooser.choose(candidates, new Set(['a', 'b', 'c']))).to.equal('d')
    expect(chooser.choose(candidates, new Set(candidates))).to.equal(undefined)
  })
})
