import { deflateRawSync, inflateRawSync } from 'node:zlib'

// A configuration with a thousand routes has 0.2 MB.
const maximumTextBytes = 64 * 1024 * 1024
// The fastest level; lists of routes, segments and endpoints shrink to less than a tenth with it.
const level = 1

/** Compresses a text for other VMs. */
export function compressText (text: string): Buffer {
  return deflateRawSync(text, { level })
}

/** Restores a text from `compressText`. Throws if the bytes are not valid or the text exceeds 64 MiB. */
export function restoreText (bytes: Uint8Array): string {
  return inflateRawSync(bytes, { maxOutputLength: maximumTextBytes }).toString()
}
