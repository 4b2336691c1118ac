import { readFile } from 'node:fs/promises'
import { expect } from 'chai'
import { planRequests, rateFactor, type PlanOptions, type PlannedRequest } from './plan.js'
import type { Phase } from './scenario.js'
import { scenarios, slowScenario } from './scenarios.js'

function plan (scenarioName: string, phaseName: string, changes: Partial<PlanOptions> = {}): readonly PlannedRequest[] {
  const scenario = scenarios.get(scenarioName)
  const phase = scenario?.phases[phaseName]
  if (scenario === undefined || phase === undefined) throw new Error(`unknown ${scenarioName} ${phaseName}`)
  return planRequests({ scenario, phase, seed: 1, requestsPerSecond: 200, durationSeconds: 20, ...changes })
}

const count = (requests: readonly PlannedRequest[], from: number, to: number): number => requests.filter(({ at }) => at >= from && at < to).length

describe('planRequests', () => {
  it('gives the same plan for the same seed and another for another, so that runs can be compared', () => {
    expect(plan('atlas', 'flare')).to.deep.equal(plan('atlas', 'flare'))
    expect(plan('atlas', 'flare')).not.to.deep.equal(plan('atlas', 'flare', { seed: 2 }))
  })

  it('follows the rate of the phase, so that a crest is a crest', () => {
    const requests = plan('ostrina', 'crest')
    expect(count(requests, 0, 5000) / 5).to.be.closeTo(120, 25)
    expect(count(requests, 7000, 12_000) / 5).to.be.closeTo(500, 50)
  })

  // A slowed run would otherwise load the pools more or less than the full rate does.
  it('keeps the work per second when a scenario is slowed down', () => {
    for (const scenario of scenarios.values()) {
      const work = ({ requestsPerSecond, kinds }: typeof scenario): number => kinds.reduce((sum, { weight, service }) => sum + weight * service.meanMilliseconds, 0) * requestsPerSecond
      const slow = slowScenario(scenario, 8)
      expect(slow.requestsPerSecond).to.equal(scenario.requestsPerSecond / 8)
      expect(work(slow)).to.be.closeTo(work(scenario), 1e-6 * work(scenario))
    }
  })

  it('interpolates the rate between points and holds it after the last', () => {
    const phase: Phase = { rate: [{ at: 0, factor: 1 }, { at: 0.5, factor: 3 }], window: { from: 0, to: 1 } }
    expect([0, 0.25, 0.5, 0.9].map(at => rateFactor(phase, at))).to.deep.equal([1, 2, 3, 3])
  })

  it('concentrates a flare on one key and only within the window', () => {
    const topShare = (requests: readonly PlannedRequest[]): number => {
      const counts = new Map<string, number>()
      for (const { key } of requests) if (key !== undefined) counts.set(key, (counts.get(key) ?? 0) + 1)
      return Math.max(...counts.values()) / requests.length
    }
    const requests = plan('atlas', 'flare')
    expect(topShare(requests.filter(({ inWindow }) => inWindow))).to.be.greaterThan(0.1)
    expect(topShare(requests.filter(({ inWindow }) => !inWindow))).to.be.lessThan(0.05)
  })

  it('runs the reconciliation only in its phase', () => {
    for (const name of scenarios.keys()) {
      expect(plan(name, 'steady').some(({ kind }) => kind.serviceClass === 'long')).to.equal(false)
      expect(plan(name, 'reconciliation').some(({ kind }) => kind.serviceClass === 'long')).to.equal(true)
    }
  })

  // Otherwise the comparison with the run without long jobs would also compare two different loads of short requests.
  it('adds a burst of long jobs for few keys and leaves the other requests as they are', () => {
    for (const name of scenarios.keys()) {
      const requests = plan(name, 'long-burst')
      const long = requests.filter(({ kind }) => kind.serviceClass === 'long')
      expect(long.map(({ key }) => key)).to.have.members(['key-1', 'key-1', 'key-1', 'key-1', 'key-2', 'key-2', 'key-2', 'key-2'])
      expect(requests.filter(({ kind }) => kind.serviceClass !== 'long')).to.deep.equal(plan(name, 'steady'))
      expect(requests.map(({ at }) => at)).to.deep.equal(requests.map(({ at }) => at).sort((one, other) => one - other))
    }
  })

  it('uses only paths, classes and deadlines of the example rules, or its requests would be answered with 404', async () => {
    const units: Readonly<Record<string, number>> = { s: 1000, m: 60_000 }
    for (const { name, kinds } of scenarios.values()) {
      const rules = await readFile(new URL(`../../../examples/${name}/rules.txt`, import.meta.url), 'utf8')
      for (const { method, path, pool, serviceClass, deadlineMilliseconds, idempotent } of kinds) {
        const line = rules.split('\n').find(text => text.startsWith(method) && text.split(/\s+/)[1]?.replace(/:\w+/, ':key') === path)
        const [, amount, unit] = /deadline=(\d+)([sm])/.exec(line ?? '') ?? []
        expect(line, path).to.include(`pool=${pool} `).and.include(`class=${serviceClass} `).and.match(idempotent ? / idempotent / : / at-most-once /)
        expect(Number(amount) * (units[unit ?? ''] ?? NaN), path).to.equal(deadlineMilliseconds)
      }
    }
  })
})
