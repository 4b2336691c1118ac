import { z } from 'zod'
import type { Directory } from '../endpoint-entry.js'

const entrySchema = z.object({
  id: z.string(),
  pool: z.string(),
  host: z.string(),
  port: z.int(),
  dataCentre: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  life: z.number(),
  warmUpMilliseconds: z.number()
}).readonly()

const changeSchema = z.object({ entries: z.array(entrySchema), removed: z.array(z.string()) })

/** Encodes what changed between two directories as JSON: entries that are new or other objects, and ids that are gone. */
export function encodeDirectoryChange (before: Directory, after: Directory): string {
  const entries = [...after.values()].filter(entry => before.get(entry.id) !== entry)
  const removed = [...before.keys()].filter(id => !after.has(id))
  return JSON.stringify({ entries, removed })
}

/** Applies a change from `encodeDirectoryChange`. Unchanged entries keep their identity. Throws if the text has another form. */
export function applyDirectoryChange (before: Directory, text: string): Directory {
  const { entries, removed } = changeSchema.parse(JSON.parse(text))
  const after = new Map(before)
  for (const id of removed) after.delete(id)
  for (const entry of entries) after.set(entry.id, entry)
  return after
}
