/**
 * States of the session with one endpoint.
 *
 * - `offering`: the token has not been accepted yet.
 * - `waiting`: the endpoint does not check tokens and the former coordinator's right may still run.
 * - `active`: grants are being renewed and requests are sent.
 * - `lost`: the endpoint does not answer on fresh connections either.
 * - `fenced`: the endpoint knows a higher token.
 * - `closed`: this VM is no longer the coordinator; requests in flight are finished.
 */
export type SessionState = 'offering' | 'waiting' | 'active' | 'lost' | 'fenced' | 'closed'
