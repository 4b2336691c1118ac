import { readFileSync } from 'node:fs'
import { z } from 'zod'

const packageFile = new URL('../package.json', import.meta.url)

/** Version of this package. */
export const { version } = z.object({ version: z.string() }).parse(JSON.parse(readFileSync(packageFile, 'utf8')))
