import { z } from 'zod'
import { BriarsaddleError } from '@briarsaddle/common'
import { keyMapSchema, type Holder, type KeyMap, type Segment } from './key-map.js'
import { checkLayout, repairLayout } from './layout.js'

const segmentRowSchema = z.tuple([
  z.int().describe('first key'),
  z.int().describe('last key'),
  z.int().describe('index of the owner'),
  z.int().describe('fencing token'),
  z.union([z.literal(0), z.literal(1), z.literal(2)]).describe('0 when settled, 1 while moving, 2 while moving with `open` set'),
  z.array(z.int()).describe('indexes of former holders'),
  z.string().describe('handover')
])

const encodedSchema = z.object({
  fence: z.int(),
  author: z.string(),
  vms: z.array(z.unknown()),
  holders: z.array(z.tuple([z.string(), z.int(), z.string()])),
  pools: z.record(z.string(), z.array(segmentRowSchema))
})

type SegmentRow = z.infer<typeof segmentRowSchema>

/**
 * Encodes a key map as JSON. Each holder is written once and referenced by index, because the size of a log record is limited.
 * Throws `key_map_invalid` if a pool does not have every key in exactly one segment.
 */
export function encodeKeyMap (map: KeyMap): string {
  checkLayout(map)
  const holders = new HolderTable()
  const row = ({ from, to, owner, fence, moving, open, former, handover }: Segment): SegmentRow =>
    [from, to, holders.indexOf(owner), fence, moving ? (open === true ? 2 : 1) : 0, former.map(holder => holders.indexOf(holder)), handover]
  const pools = Object.fromEntries(Object.entries(map.pools).map(([pool, segments]) => [pool, segments.map(row)]))
  return JSON.stringify({ fence: map.fence, author: map.author, vms: map.vms, holders: holders.rows, pools })
}

/**
 * Decodes a key map that was encoded by `encodeKeyMap`. Earlier versions wrote maps with empty ranges; an invalid layout is
 * repaired, see `repairLayout`. Throws if the text is no key map.
 */
export function decodeKeyMap (text: string): KeyMap {
  const { fence, author, vms, holders, pools } = encodedSchema.parse(JSON.parse(text))
  const holder = (index: number): Holder => {
    const row = holders[index]
    if (row === undefined) throw new BriarsaddleError(`invalid key map: holder ${index} is not in the list of holders`, { code: 'key_map_invalid', step: 'decode key map' })
    const [endpoint, life, address] = row
    return { endpoint, life, address }
  }
  const segment = ([from, to, owner, token, moving, former, handover]: SegmentRow): Segment =>
    ({ from, to, owner: holder(owner), fence: token, moving: moving > 0, ...(moving === 2 ? { open: true } : {}), former: former.map(holder), handover })
  return repairLayout(keyMapSchema.parse({ fence, author, vms, pools: Object.fromEntries(Object.entries(pools).map(([pool, rows]) => [pool, rows.map(segment)])) }))
}

class HolderTable {
  readonly rows: Array<[string, number, string]> = []
  readonly #indexes = new Map<string, number>()

  indexOf ({ endpoint, life, address }: Holder): number {
    const key = `${endpoint} ${life}`
    let index = this.#indexes.get(key)
    if (index === undefined) {
      this.#indexes.set(key, index = this.rows.length)
      this.rows.push([endpoint, life, address])
    }
    return index
  }
}
