import type { ChannelOptions } from '@grpc/grpc-js'

/** Default limit of one message in either direction, in bytes. */
export const defaultMaximumMessageBytes = 8 * 1024 * 1024

/** Settings that both sides of a connection share. Both sides must use the same message limit. */
export interface ConnectionOptions {
  /** Longest message in bytes. Default 8 MiB. */
  readonly maximumMessageBytes?: number
  /** Time between gRPC keepalive pings. Default 10,000 ms. */
  readonly keepaliveMilliseconds?: number
  /** Time that a keepalive ping may stay unanswered. Default 2,000 ms. */
  readonly keepaliveTimeoutMilliseconds?: number
}

const defaultKeepaliveMilliseconds = 10_000
const defaultKeepaliveTimeoutMilliseconds = 2_000

// The HTTP/2 default of 64 KiB lets one large body hold up every other frame on the stream.
const flowControlWindowBytes = 1024 * 1024

/** Returns the gRPC channel options of both sides. */
export function channelOptions (options: ConnectionOptions): ChannelOptions {
  const maximumMessageBytes = options.maximumMessageBytes ?? defaultMaximumMessageBytes
  return {
    'grpc.max_receive_message_length': maximumMessageBytes,
    'grpc.max_send_message_length': maximumMessageBytes,
    'grpc.keepalive_time_ms': options.keepaliveMilliseconds ?? defaultKeepaliveMilliseconds,
    'grpc.keepalive_timeout_ms': options.keepaliveTimeoutMilliseconds ?? defaultKeepaliveTimeoutMilliseconds,
    'grpc.keepalive_permit_without_calls': 1,
    'grpc.enable_channelz': 0,
    // A retry by gRPC could send a frame twice.
    'grpc.enable_retries': 0,
    'grpc.enable_http_proxy': 0,
    'grpc.service_config_disable_resolution': 1,
    // Shared subchannels would turn a fresh connection into the old one.
    'grpc.use_local_subchannel_pool': 1,
    'grpc-node.flow_control_window': flowControlWindowBytes
  }
}

/** Formats host and port; IPv6 addresses get brackets. */
export function formatAddress (host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
