import { z } from 'zod'
import { BriarsaddleError } from '@briarsaddle/common'
import { keySchema, vmSchema, type Holder, type KeyMap, type Segment } from './key-map.js'
import { checkLayout, repairLayout } from './layout.js'

const segmentRowSchema = z.tuple([
  keySchema.describe('first key'),
  keySchema.describe('last key'),
  z.int().describe('index of the owner'),
  z.int().describe('fencing token'),
  z.union([z.literal(0), z.literal(1), z.literal(2)]).describe('0 when settled, 1 while moving, 2 while moving with `open` set'),
  z.array(z.int()).describe('indexes of former holders'),
  z.string().describe('handover')
])

const encodedSchema = z.object({
  fence: z.int(),
  author: z.string(),
  vms: z.array(vmSchema).readonly().optional(),
  holders: z.array(z.tuple([z.string(), z.int(), z.string()]).transform(([endpoint, life, address]): Holder => ({ endpoint, life, address }))),
  pools: z.record(z.string(), z.array(segmentRowSchema))
})

type SegmentRow = z.infer<typeof segmentRowSchema>

/** JSON form of a key map, or of a part of one. */
export interface EncodedSegments {
  readonly fence: number
  readonly author: string
  /** Absent when the list is that of the map to which the part belongs. */
  readonly vms?: KeyMap['vms'] | undefined
  readonly holders: ReadonlyArray<readonly [string, number, string]>
  readonly pools: Readonly<Record<string, readonly SegmentRow[]>>
}

/** A decoded part of a key map; its layout has not been checked. */
export type DecodedSegments = Omit<KeyMap, 'vms' | 'repairs'> & { readonly vms?: KeyMap['vms'] | undefined }

/**
 * Encodes a key map as JSON. Each holder is written once and referenced by index, because the size of a log record is limited.
 * Throws `key_map_invalid` if a pool does not have every key in exactly one segment.
 */
export function encodeKeyMap (map: KeyMap): string {
  checkLayout(map)
  return JSON.stringify(encodeSegments(map, map.vms))
}

/**
 * Decodes a key map that was encoded by `encodeKeyMap`. Earlier versions wrote maps with empty ranges; an invalid layout is
 * repaired, see `repairLayout`. Throws if the text is no key map.
 */
export function decodeKeyMap (text: string): KeyMap {
  const { vms, ...rest } = decodeSegments(text)
  if (vms === undefined) throw new BriarsaddleError('invalid key map: there is no list of VMs', { code: 'key_map_invalid', step: 'decode key map' })
  return repairLayout({ ...rest, vms })
}

/** Returns the JSON form of some segments of a map. */
export function encodeSegments ({ fence, author, pools }: Pick<KeyMap, 'fence' | 'author' | 'pools'>, vms: KeyMap['vms'] | undefined): EncodedSegments {
  const holders = new HolderTable()
  const row = ({ from, to, owner, fence, moving, open, former, handover }: Segment): SegmentRow =>
    [from, to, holders.indexOf(owner), fence, moving ? (open === true ? 2 : 1) : 0, former.map(holder => holders.indexOf(holder)), handover]
  const rows = Object.fromEntries(Object.entries(pools).map(([pool, segments]) => [pool, segments.map(row)]))
  return { fence, author, ...(vms === undefined ? {} : { vms }), holders: holders.rows, pools: rows }
}

/** Decodes the JSON form of some segments of a map. Throws if the text has another form or names a holder that it does not list. */
export function decodeSegments (text: string): DecodedSegments {
  const { fence, author, vms, holders, pools } = encodedSchema.parse(JSON.parse(text))
  const holder = (index: number): Holder => {
    const row = holders[index]
    if (row === undefined) throw new BriarsaddleError(`invalid key map: holder ${index} is not in the list of holders`, { code: 'key_map_invalid', step: 'decode key map' })
    return row
  }
  const segment = ([from, to, owner, token, moving, former, handover]: SegmentRow): Segment =>
    ({ from, to, owner: holder(owner), fence: token, moving: moving > 0, ...(moving === 2 ? { open: true } : {}), former: former.map(holder), handover })
  return { fence, author, vms, pools: Object.fromEntries(Object.entries(pools).map(([pool, rows]) => [pool, rows.map(segment)])) }
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
