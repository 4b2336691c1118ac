import { expect } from 'chai'
import { RouteMatcher } from './route-matcher.js'
import type { Route } from './routing-table.js'
import { TargetRotation } from './target-rotation.js'

function route (name: string, pathPrefix: string, targets = [{ pool: 'ponds', weight: 1 }]): Route {
  return { name, host: 'clubs.example', pathPrefix, idempotent: true, timeoutMilliseconds: 1_000, objectiveMilliseconds: 500, rank: 0, attempts: 2, targets }
}

describe('RouteMatcher', () => {
  const matcher = new RouteMatcher({ version: 1, pools: [], routes: [route('short', '/a/'), route('long', '/a/b/')] })

  it('chooses the longest matching prefix of the host', () => {
    expect(matcher.match('clubs.example', '/a/b/c')?.name).to.equal('long')
    expect(matcher.match('CLUBS.example:80', '/a/c?x=/a/b/')?.name).to.equal('short')
  })

  it('finds no route for another host or for a path that only resembles a prefix', () => {
    expect(matcher.match('other.example', '/a/b/c')).to.equal(undefined)
    expect(matcher.match('clubs.example', '/ab/c')).to.equal(undefined)
  })
})

describe('TargetRotation', () => {
  it('follows the weights exactly, so that even a small share is met within a few requests', () => {
    const split = route('split', '/s/', [{ pool: 'ponds', weight: 90 }, { pool: 'desk', weight: 10 }])
    const rotation = new TargetRotation()
    const chosen = Array.from({ length: 100 }, () => rotation.choose(split))
    expect(chosen.filter(pool => pool === 'desk')).to.have.length(10)
    expect(chosen.slice(0, 10).filter(pool => pool === 'desk')).to.have.length(1)
  })

  it('sends nothing to a target of weight 0', () => {
    const rotation = new TargetRotation()
    const split = route('split', '/s/', [{ pool: 'ponds', weight: 0 }, { pool: 'desk', weight: 1 }])
    expect(new Set(Array.from({ length: 20 }, () => rotation.choose(split)))).to.have.keys('desk')
  })
})
