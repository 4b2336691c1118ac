// Checks what servers hold and begin against the rule OWNER, from what the servers see.
const keys = 65_536
const overlapMilliseconds = 500

export class Ownership {
  breaches = []
  #servers = []
  #highestFence = new Float64Array(keys)
  #highestServer = new Int32Array(keys).fill(-1)
  #numbers = new Map()
  #names = []
  /** Overlapping holds that last: by pair, the keys and when they began. */
  #overlaps = new Map()
  #begun = new Map()
  /** Until when grants don't count, since a machine was thawed or a link healed. */
  excusedUntil = -Infinity

  constructor (note = () => {}) {
    this.note = note
  }

  watch (server) {
    this.#servers.push(server)
  }

  #breach (text) {
    this.breaches.push(text)
    this.note(`OWNER ${text}`)
  }

  #numberOf (server) {
    // A life of a server is a holder of its own: "to another server, or to another life of the same server, with a higher token".
    if (!this.#numbers.has(server)) {
      this.#numbers.set(server, this.#numbers.size)
      this.#names.push(server.id)
    }
    return this.#numbers.get(server)
  }

  granted (server, { from, to, fence, until }) {
    const now = performance.now()
    const number = this.#numberOf(server)
    const excused = now < this.excusedUntil
    let reported = false
    for (let key = from; key <= to; key++) {
      const other = this.#highestServer[key]
      if (other !== -1 && other !== number && this.#highestFence[key] >= fence) {
        if (!reported && !excused) this.#breach(`${server.id} takes key ${key} of ${from}-${to} with token ${fence}; ${this.#names[other]} had it with ${this.#highestFence[key]}`)
        reported = true
      } else if (fence >= this.#highestFence[key]) {
        this.#highestFence[key] = fence
        this.#highestServer[key] = number
      }
    }
    for (const other of this.#servers) {
      if (other === server || other.ended === true) continue
      for (const held of other.held) {
        const first = Math.max(from, held.from)
        const last = Math.min(to, held.to)
        if (first > last) continue
        this.note(`overlap: ${server.id} is granted ${first}-${last} with ${fence} until ${Math.round(until - now)} ms from now; ${other.id} holds ${held.from}-${held.to} with ${held.fence} for ${Math.round(held.until - now)} ms more${excused ? ' (excused)' : ''}`)
        if (!excused) this.#overlaps.set(`${server.id}/${other.id}`, { server, other, first, last, since: now, begun: new Set() })
      }
    }
  }

  begins (server, key, requestId) {
    for (const overlap of this.#overlaps.values()) {
      if (key < overlap.first || key > overlap.last) continue
      if (!overlap.server.holds(key) || !overlap.other.holds(key)) continue
      overlap.begun.add(server.id)
      if (overlap.begun.size > 1 && overlap.reported !== true) {
        overlap.reported = true
        this.#breach(`${[...overlap.begun].join(' and ')} hold keys ${overlap.first}-${overlap.last} at once and both begin requests (${requestId}, key ${key})`)
      }
    }
  }

  /** To be called about every 50 ms. */
  check () {
    const now = performance.now()
    for (const [name, overlap] of this.#overlaps) {
      const both = overlap.server.ended !== true && overlap.other.ended !== true && overlap.server.held.some(one => overlap.other.held.some(two => Math.max(one.from, two.from) <= Math.min(one.to, two.to)))
      if (!both) this.#overlaps.delete(name)
      else if (now - overlap.since > overlapMilliseconds && overlap.long !== true) {
        overlap.long = true
        this.#breach(`${overlap.server.id} and ${overlap.other.id} hold keys of ${overlap.first}-${overlap.last} at once for over ${overlapMilliseconds} ms`)
      }
    }
  }

  ended () {}
}
