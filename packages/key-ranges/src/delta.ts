import { BriarsaddleError } from '@briarsaddle/common'
import { decodeSegments, encodeSegments } from './codec.js'
import type { KeyMap, Segment } from './key-map.js'
import { checkLayout } from './layout.js'

/**
 * Encodes what changed between two key maps as JSON: segments that the former map does not have, and the list of VMs if it
 * differs. Returns undefined when the change cannot be expressed, because a pool is gone.
 */
export function encodeKeyMapDelta (before: KeyMap, after: KeyMap): string | undefined {
  if (Object.keys(before.pools).some(pool => after.pools[pool] === undefined)) return undefined
  const pools = Object.fromEntries(Object.entries(after.pools).flatMap(([pool, segments]) => {
    const changed = changedSegments(before.pools[pool] ?? [], segments)
    return changed.length === 0 && before.pools[pool] !== undefined ? [] : [[pool, changed]]
  }))
  return JSON.stringify(encodeSegments({ ...after, pools }, sameVmList(before.vms, after.vms) ? undefined : after.vms))
}

/**
 * Applies a change from `encodeKeyMapDelta`. Unchanged segments and lists keep their identity. Throws `key_map_invalid` if the
 * change does not belong to the map.
 */
export function applyKeyMapDelta (before: KeyMap, text: string): KeyMap {
  const delta = decodeSegments(text)
  const pools = { ...before.pools }
  for (const [pool, changed] of Object.entries(delta.pools)) pools[pool] = replaceSegments(before.pools[pool] ?? [], changed)
  const after: KeyMap = { fence: delta.fence, author: delta.author, vms: delta.vms ?? before.vms, pools }
  if (after.fence < before.fence) throw new BriarsaddleError(`the change lowers the token from ${before.fence} to ${after.fence}`, { code: 'key_map_invalid', step: 'apply key map change' })
  checkLayout(after)
  return after
}

/** Whether two lists have the same VMs with the same addresses, weights, levels, coordinated endpoints and pools that they are cut off from, in the same order. */
export function sameVmList (one: KeyMap['vms'], other: KeyMap['vms']): boolean {
  return one === other || (one.length === other.length && one.every((vm, index) => {
    const match = other[index]
    return vm.id === match?.id && vm.host === match.host && vm.port === match.port && vm.dataCentre === match.dataCentre && vm.weight === match.weight && vm.level === match.level && vm.coordinates?.join() === match.coordinates?.join() && vm.cutFrom?.join() === match.cutFrom?.join()
  }))
}

function changedSegments (before: readonly Segment[], after: readonly Segment[]): readonly Segment[] {
  let index = 0
  return after.filter(segment => {
    while (index < before.length && (before[index] as Segment).from < segment.from) index++
    const former = before[index]
    return former === undefined || !sameSegment(former, segment)
  })
}

/** Both lists are in the order of their keys. The changed segments cover exactly the keys of the segments that they replace. */
function replaceSegments (before: readonly Segment[], changed: readonly Segment[]): readonly Segment[] {
  let index = 0
  const kept = before.filter(segment => {
    while (index < changed.length && (changed[index] as Segment).to < segment.from) index++
    return (changed[index]?.from ?? Infinity) > segment.to
  })
  return [...kept, ...changed].sort((one, other) => one.from - other.from)
}

function sameSegment (one: Segment, other: Segment): boolean {
  if (one === other) return true
  return one.from === other.from && one.to === other.to && one.fence === other.fence && one.moving === other.moving && one.open === other.open && one.handover === other.handover &&
    one.former.length === other.former.length && [one.owner, ...one.former].every((holder, index) => {
    const match = index === 0 ? other.owner : other.former[index - 1]
    return holder.endpoint === match?.endpoint && holder.life === match.life && holder.address === match.address
  })
}
