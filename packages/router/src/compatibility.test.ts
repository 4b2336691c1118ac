import { expect } from 'chai'
import { readFileSync, readdirSync } from 'node:fs'
import { MonotonicClock } from '@briarsaddle/common'
import { applyKeyMapDelta, decodeKeyMap, encodeKeyMap, encodeKeyMapDelta, type KeyMap, type Segment } from '@briarsaddle/key-ranges'
import { applyDirectoryChange, encodeDirectoryChange } from './control/directory-codec.js'
import type { EndpointEntry } from './endpoint-entry.js'
import { PoisonList } from './poison/poison-list.js'

interface Records { readonly keyMap: string, readonly keyMapChange: string, readonly directoryChange: string, readonly poisonRequests: string }

const folder = new URL('../compatibility/', import.meta.url)
const advice = 'VMs of the former build read this record while VMs are replaced: add optional fields only, and write them once every VM reads them'
const owner = { endpoint: 'ponds-1', life: 1_764_000_000_000, address: '10.0.0.1:8080' }
const former = { endpoint: 'ponds-2', life: 1_764_000_000_001, address: '10.0.0.2:8080' }
const segments: readonly Segment[] = [
  { from: 0, to: 99, owner, fence: 7, moving: false, former: [], handover: '' },
  { from: 100, to: 32_767, owner, fence: 7, moving: true, former: [former], handover: '' },
  { from: 32_768, to: 65_535, owner: former, fence: 8, moving: true, open: true, former: [owner], handover: 'from-ponds-1' }
]
const vms: KeyMap['vms'] = [
  { id: 'vm-1', host: '10.0.1.1', port: 7720, dataCentre: 'a', weight: 0.54 },
  { id: 'vm-2', host: '10.0.1.2', port: 7720, dataCentre: 'b', weight: 0.54 }
]
const leveledVms: KeyMap['vms'] = vms.map((vm, index) => ({ ...vm, level: 1, ...(index === 0 ? { coordinates: ['ponds-2'] } : {}) }))
/** Lists of VMs as builds wrote them first. */
const vmsByBuild: ReadonlyMap<string, KeyMap['vms']> = new Map([['b0b7189', vms], ['11e7692', leveledVms]])
const mapOf = (build: string): KeyMap => ({ author: 'vm-1', fence: 9, vms: vmsByBuild.get(build) ?? vms, pools: { ponds: segments } })
const beforeOf = (map: KeyMap): KeyMap => ({ ...map, pools: { ponds: segments.map((segment, index) => index === 0 ? segment : { ...segment, fence: 1 }) } })
const entry: EndpointEntry = { id: 'ponds-1', pool: 'ponds', host: '10.0.0.1', port: 8080, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 }
const directoryBefore = new Map([['ponds-0', entry]])

/** Parses a record and adds a field to each of its objects, as a later build may. */
function withUnknownFields (text: string): string {
  const add = (value: unknown): unknown => {
    if (Array.isArray(value)) return value.map(add)
    if (typeof value !== 'object' || value === null) return value
    return { ...Object.fromEntries(Object.entries(value).map(([name, part]) => [name, add(part)])), fieldOfLaterBuild: 1 }
  }
  const { pools, ...rest } = JSON.parse(text) as Record<string, unknown>
  // The names in `pools` are those of pools.
  return JSON.stringify({ ...add(rest) as object, ...(pools === undefined ? {} : { pools }) })
}

describe('Records of the control state, with VMs of different builds', () => {
  for (const file of readdirSync(folder)) {
    const build = file.replace('.json', '')
    const map = mapOf(build)
    const before = beforeOf(map)
    const records = JSON.parse(readFileSync(new URL(file, folder), 'utf8')) as Records

    it(`reads those of ${build}, also with fields that it does not know`, () => {
      for (const change of [(text: string) => text, withUnknownFields]) {
        expect(decodeKeyMap(change(records.keyMap))).to.deep.include(map)
        expect(applyKeyMapDelta(before, change(records.keyMapChange)).pools).to.deep.equal(map.pools)
        expect([...applyDirectoryChange(directoryBefore, change(records.directoryChange))]).to.deep.equal([['ponds-1', entry]])
        const list = new PoisonList(new MonotonicClock())
        list.merge(change(records.poisonRequests))
        expect(list.size).to.equal(1)
      }
    })

    it(`writes them as ${build} does`, () => {
      expect(encodeKeyMap(map), advice).to.equal(records.keyMap)
      expect(encodeKeyMapDelta(before, map), advice).to.equal(records.keyMapChange)
      expect(encodeDirectoryChange(directoryBefore, new Map([['ponds-1', entry]])), advice).to.equal(records.directoryChange)
    })
  }
})
