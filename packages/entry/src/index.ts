export { EntryServer, type CallerLimits, type EntryServerOptions } from './entry-server.js'
export { announcedLength, hasBody, readBody, type BodyResult } from './body.js'
export { CallerRequestHandler, originForm, type CallerAnswer, type CallerHeader, type CallerRequest } from './request-handler.js'
export { endToEndHeaders, headerPairs, headerValue, isValidHeader } from './headers.js'
