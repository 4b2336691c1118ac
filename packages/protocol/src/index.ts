export {
  Answer, Cancel, ConfirmRequest, ConfirmResponse, EndpointVersion, EndpointLoad, EndpointKeyLoad, FetchControlRequest, FetchControlResponse, FetchJournalRequest, FetchJournalResponse, FetchKeyLoadsRequest, FetchKeyLoadsResponse, FetchLoadsRequest, FetchLoadsResponse, FetchStateRequest,
  FetchStateResponse, Forward, Frame, GoingAway, Header, Heartbeat, HeartbeatAnswer, HeartbeatRequest, HeartbeatResponse, Journal, JournalAcknowledgement,
  ControlUpdate, VmRecord, WatchControlRequest, Watcher,
  BucketImport, JournalEntry, JournalStage, KeyLoad, Outcome, ServiceClass
} from './generated/inner.js'
export { answerBytes, forwardBytes, lengthUnknown, notRunAnswer, peerReasons, unknownAnswer } from './answers.js'
export { ControlWatch, ControlWatcher, type ControlWatchEvents } from './control-watch.js'
export { ControlHandler, FrameHandler, unsupported } from './handlers.js'
export { InnerServer, type InnerServerOptions } from './inner-server.js'
export { defaultMaximumMessageBytes, formatAddress, type ConnectionOptions } from './options.js'
export { PeerClient, type PeerClientOptions } from './peer-client.js'
export { PeerPool, type PeerAddress, type PeerPoolOptions } from './peer-pool.js'
