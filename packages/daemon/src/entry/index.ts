export { EntryServer, type EntryServerOptions } from './entry-server.js'
export { RequestRouter, type RequestRouterOptions } from './request-router.js'
export type { AcceptedRequest, CallerRequest } from './caller-request.js'
export type { CallerAnswer } from './caller-answer.js'
