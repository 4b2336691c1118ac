import { BriarsaddleError } from '@briarsaddle/common'
import { request } from 'undici'
import { z } from 'zod'

const timeSchema = z.object({ clock: z.number(), wall: z.number() })

/** Schema of `GET /_record` of an endpoint stand-in, as far as the tool reads it. */
export const endpointRecordSchema = z.object({
  endpoint: z.string(),
  pool: z.string(),
  slots: z.number(),
  dropped: z.number(),
  requests: z.array(z.object({
    key: z.string().optional(),
    testRequest: z.string().optional(),
    method: z.string(),
    start: timeSchema,
    end: timeSchema.optional(),
    result: z.string()
  })),
  held: z.array(z.object({ bucket: z.number(), from: timeSchema, until: timeSchema }))
})

/** What one endpoint stand-in recorded. */
export type EndpointRecord = z.infer<typeof endpointRecordSchema>

/** Reads the records of endpoint stand-ins. Throws `observer_failed`. */
export async function readEndpointRecords (urls: readonly string[]): Promise<readonly EndpointRecord[]> {
  return await Promise.all(urls.map(async url => {
    const parsed = endpointRecordSchema.safeParse(await readJson(new URL('/_record', url)))
    if (!parsed.success) throw new BriarsaddleError(`Unexpected record: ${z.prettifyError(parsed.error)}`, { code: 'observer_failed', step: 'read endpoint record', peer: url })
    return parsed.data
  }))
}

/** Reads the state dump of a daemon. Throws `observer_failed`. */
export async function readAdministrationState (url: string, token: string): Promise<unknown> {
  return await readJson(new URL('/state', url), { authorization: `Bearer ${token}` })
}

async function readJson (url: URL, headers: Record<string, string> = {}): Promise<unknown> {
  try {
    const response = await request(url, { headers })
    if (response.statusCode !== 200) {
      await response.body.dump()
      throw new Error(`status ${response.statusCode}`)
    }
    return await response.body.json()
  } catch (cause) {
    throw new BriarsaddleError('Observer did not answer', { code: 'observer_failed', step: 'read observer', peer: url.origin, cause })
  }
}
