import type { ChannelOptions } from '@grpc/grpc-js'

/** Default maximum size of one message in either direction, in bytes. */
export const defaultMaximumMessageBytes = 8 * 1024 * 1024

/** Settings that both sides of a connection share. Both sides must use the same message limit. */
export interface ConnectionOptions {
  /** Maximum size of a message, in bytes. Default 8 MiB. */
  readonly maximumMessageBytes?: number
  /** Interval of gRPC keepalive pings. Default 10,000 ms. */
  readonly keepaliveMilliseconds?: number
  /** Timeout of a keepalive ping. Default 2,000 ms. */
  readonly keepaliveTimeoutMilliseconds?: number
}

const defaultKeepaliveMilliseconds = 10_000
const defaultKeepaliveTimeoutMilliseconds = 2_000

// With the HTTP/2 default of 64 KiB, one large body blocks all other frames on the stream.
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
    // Retries by gRPC could send a frame twice.
    'grpc.enable_retries': 0,
    'grpc.enable_http_proxy': 0,
    'grpc.service_config_disable_resolution': 1,
    // With shared subchannels, a new client would reuse the existing connection.
    'grpc.use_local_subchannel_pool': 1,
    'grpc-node.flow_control_window': flowControlWindowBytes
  }
}

/** Formats a host and a port as an address, with brackets around an IPv6 host. */
export function formatAddress (host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
