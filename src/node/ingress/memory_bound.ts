/** The bounds on what an entry holds for callers and upstreams. */
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {HeldBytes} from '../http/held_bytes.js';
import {UnfinishedRequests} from '../http/unfinished_requests.js';
import type {IngressSettings} from './settings.js';
import type {TryResult} from './types.js';

/** `retry-after` if there is no room: slow peers are let go within this time. */
export const MEMORY_RETRY_MS = 1_000;

/** The end of a try for which there is no room. */
export const NO_ROOM: TryResult = {
  kind: 'not_run',
  cause: 'memory',
  retryAfterMs: MEMORY_RETRY_MS,
};

const BYTES_PER_MB = 1_048_576;
/**
 * The rest is for the runtime, the kernel's buffers of unread bytes, and copies that
 * exist for a moment.
 */
const HELD_SHARE = 0.25;
/** Without a setting: more than a process of the earlier deployments may use. */
const DEFAULT_MAX_BYTES = 1_024 * BYTES_PER_MB;

/** Part of the memory for heads of requests that are still arriving. */
const UNFINISHED_HEADS_SHARE = 0.1;
/**
 * Memory for each byte of a head. A line is a pair of texts and their places in a list,
 * and may have five bytes.
 */
const MEMORY_PER_HEAD_BYTE = 12;
/** The rest is for upstreams, other instances and files. */
const CALLER_DESCRIPTORS_SHARE = 0.6;

/** The bound for a process that may use `memoryMb` in all. */
export function maxHeldBytes(memoryMb: number | null | undefined): number {
  if (memoryMb == null) return DEFAULT_MAX_BYTES;
  return Math.floor(memoryMb * BYTES_PER_MB * HELD_SHARE);
}

/** The held bytes of an entry, with their metrics and log lines. */
export function createHeldBytes(
  memoryMb: number | null | undefined,
  metrics: MetricsRegistry,
  logger: Logger,
): HeldBytes {
  const held = new HeldBytes({
    maxBytes: maxHeldBytes(memoryMb),
    onLetGo: ({heldBytes, movedBytes, bytesPerS, observedMs}) => {
      metrics.count('slow_peers_let_go');
      logger.warn(
        {
          event: 'slow_peer_let_go',
          heldBytes,
          movedBytes,
          bytesPerS: Math.round(bytesPerS),
          observedMs: Math.round(observedMs),
        },
        'let a slow caller go to free memory or an upstream',
      );
    },
  });
  metrics.beforeRead(() => metrics.set('held_bytes', {}, held.totalBytes));
  return held;
}

/** The bounds on requests that do not end, with their metrics and log lines. */
export function createUnfinishedRequests(
  {
    memoryMb,
    maxDescriptors,
  }: Pick<IngressSettings, 'memoryMb' | 'maxDescriptors'>,
  metrics: MetricsRegistry,
  logger: Logger,
): UnfinishedRequests {
  const memoryBytes =
    memoryMb == null ? DEFAULT_MAX_BYTES : memoryMb * BYTES_PER_MB;
  return new UnfinishedRequests({
    maxHeadBytes: (memoryBytes * UNFINISHED_HEADS_SHARE) / MEMORY_PER_HEAD_BYTE,
    maxConnections:
      maxDescriptors == null
        ? Number.POSITIVE_INFINITY
        : maxDescriptors * CALLER_DESCRIPTORS_SHARE,
    onClosed: (bound, connections) => {
      metrics.count('unfinished_requests_closed', {bound}, connections);
      logger.warn(
        {event: 'unfinished_requests_closed', bound, connections},
        'closed connections of callers whose requests do not end',
      );
    },
  });
}
