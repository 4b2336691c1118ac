// Simulates a pool whose reads suddenly ask for some neighbouring keys, without network, and prints the share of requests that
// find their endpoint in time and the number of moves. Usage: node bench/hot-span.js [ENDPOINTS] [HOT KEYS] [SHARE OF THE READS]
import { ManualClock, Random } from '@briarsaddle/common'
import { emptyKeyMap, lastKey, planMembership, planSpread, segmentAt, settleRange } from '@briarsaddle/key-ranges'
import { KeyDemandMeter } from '../dist/request/key-demand.js'
import { defaultControlTiming } from '../dist/control/timing.js'

const pool = 'ponds'
const rule = 1
const slots = 2
const serviceMilliseconds = 260
const objectiveMilliseconds = 800
const requestsPerEndpointAndSecond = 2.25
const stepMilliseconds = 10
const moveMilliseconds = 450
const calmMilliseconds = 6_000
const hotMilliseconds = 5_000
const slowestSpeed = 0.5
const speedRange = 1.1

class Endpoint {
  backlogMilliseconds = 0
  changedAt = -Infinity

  constructor (id, speed, clock) {
    this.id = id
    this.speed = speed
    this.meter = new KeyDemandMeter(clock)
    this.meter.recordServiceTime(rule, serviceMilliseconds / speed)
  }

  work (milliseconds) {
    this.backlogMilliseconds = Math.max(0, this.backlogMilliseconds - slots * milliseconds * this.speed)
  }

  /** Returns whether the request ends within the objective; otherwise it is refused. */
  accept (key) {
    this.meter.recordArrival(rule, key)
    const wait = (this.backlogMilliseconds / slots + serviceMilliseconds) / this.speed
    if (wait > objectiveMilliseconds) return false
    this.backlogMilliseconds += serviceMilliseconds
    return true
  }
}

class HotSpan {
  constructor (seed, endpointCount, hotKeyCount, hotShare) {
    this.clock = new ManualClock()
    this.random = new Random(seed)
    this.endpoints = new Map(Array.from({ length: endpointCount }, (_, index) => [`e${index}`, new Endpoint(`e${index}`, slowestSpeed + speedRange * this.random.fraction(), this.clock)]))
    this.perSecond = endpointCount * requestsPerEndpointAndSecond
    this.hotShare = hotShare
    this.hotKeyCount = hotKeyCount
    this.firstHotKey = this.random.integer(0, lastKey - hotKeyCount)
    this.map = this.settled(planMembership(emptyKeyMap, pool, [...this.endpoints.keys()].map(id => this.member(id))))
    this.movesUntil = -Infinity
    this.nextPlan = 0
    this.result = { requests: 0, inTime: 0, moves: 0 }
  }

  run () {
    for (let now = 0; now < calmMilliseconds + hotMilliseconds; now += stepMilliseconds) this.step(now, now >= calmMilliseconds)
    return this.result
  }

  step (now, isHot) {
    this.clock.advance(stepMilliseconds)
    for (const endpoint of this.endpoints.values()) endpoint.work(stepMilliseconds)
    if (now >= this.movesUntil) this.map = this.settled(this.map)
    for (let left = this.perSecond * stepMilliseconds / 1_000; left > 0; left--) {
      if (left < 1 && this.random.fraction() > left) break
      const key = isHot && this.random.fraction() < this.hotShare ? this.firstHotKey + this.random.integer(0, this.hotKeyCount - 1) : this.random.integer(0, lastKey)
      const segment = segmentAt(this.map, pool, key)
      const inTime = segment.moving ? false : this.endpoints.get(segment.owner.endpoint).accept(key)
      if (!isHot) continue
      this.result.requests++
      if (inTime) this.result.inTime++
    }
    if (now >= this.nextPlan && now >= this.movesUntil) this.plan(now)
  }

  plan (now) {
    this.nextPlan = now + defaultControlTiming.spreadMilliseconds
    const next = planSpread(this.map, pool, [...this.endpoints.values()].map(endpoint => this.demand(endpoint, now)))
    if (next === this.map) return
    for (const segment of next.pools[pool].filter(({ moving, fence }) => moving && fence > this.map.fence)) {
      this.result.moves++
      for (const { endpoint } of [segment.owner, ...segment.former]) this.endpoints.get(endpoint).changedAt = now
    }
    this.map = next
    this.movesUntil = now + moveMilliseconds
  }

  demand (endpoint, now) {
    if (now - endpoint.changedAt <= defaultControlTiming.restMilliseconds) return { ...this.member(endpoint.id), accepting: false, busySlots: 0, serviceMilliseconds: 0, keys: [] }
    const { busySlots, keys } = endpoint.meter.snapshot()
    const owned = keys.filter(({ key }) => segmentAt(this.map, pool, key).owner.endpoint === endpoint.id)
    return { ...this.member(endpoint.id), busySlots, serviceMilliseconds: serviceMilliseconds / endpoint.speed, keys: owned }
  }

  member (endpoint) {
    return { endpoint, life: 1, address: '127.0.0.1:1', slots, accepting: true, busySlots: 0.9 }
  }

  settled (map) {
    return (map.pools[pool] ?? []).filter(({ moving }) => moving).reduce((result, segment) => settleRange(result, pool, segment), map)
  }
}

const [endpoints = 400, hotKeys = 60, share = 0.4] = process.argv.slice(2).map(Number)
for (const seed of [1, 2, 3]) {
  const { requests, inTime, moves } = new HotSpan(seed, endpoints, hotKeys, share).run()
  console.log(JSON.stringify({ seed, endpoints, hotKeys, share, inTime: Number((inTime / requests).toFixed(3)), moves }))
}
