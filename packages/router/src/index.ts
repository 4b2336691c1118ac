export { RangeNode, type RangeNodePlatform } from './range-node.js'
export type { ListenAddress, RangeNodeSettings } from './node-settings.js'
export { defaultControlTiming, type ControlTiming } from './control/timing.js'
export { eraOf, logPosition, offsetOf } from './control/log-position.js'
export { StateTopic, WritableTopic, type TopicState } from './control/state-topic.js'
export { MembershipService, type MembershipReport } from './control/leadership.js'
export type { Directory, EndpointEntry } from './endpoint-entry.js'
export {
  EndpointTransport,
  type EndpointReply, type EndpointRequest, type Grant, type GrantReply, type ProbeResult, type ReleaseReply, type ReportedLimit, type ReportedLoad
} from './endpoint-transport.js'
export { CallerProtocol, type CallerFields } from './request/caller-protocol.js'
export { routingTableSchema, type Pool, type Route, type RoutingTable } from './routing-table.js'
export { JsonLog } from './json-log.js'
export { RouterMetrics, type ConnectionEvent, type ConnectionUse } from './router-metrics.js'
