/**
 * State of the session with one endpoint.
 *
 * - `offering`: the endpoint has not accepted the coordinator token yet.
 * - `waiting`: the endpoint does not check tokens, and a former coordinator may still act on it.
 * - `active`: grants are renewed and requests are sent.
 * - `lost`: the endpoint does not answer, not even on a new connection.
 * - `fenced`: the endpoint refused the token, because it knows a higher one.
 * - `closed`: this VM no longer coordinates the endpoint; requests in flight are finished.
 */
export type SessionState = 'offering' | 'waiting' | 'active' | 'lost' | 'fenced' | 'closed'
