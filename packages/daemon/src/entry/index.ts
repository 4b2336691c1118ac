export { RequestRouter, type RequestRouterOptions } from './request-router.js'
export type { AcceptedRequest } from './caller-request.js'
export type { OutcomeAnswer } from './caller-answer.js'
