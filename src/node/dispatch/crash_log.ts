/** Logs a crashed upstream with what its requests had in common. */
import type {Logger} from '../logging/logger.js';
import type {RunningRequest, UpstreamCrash} from '../scheduling/crash_watch.js';
import {sharedParts} from '../scheduling/prompt_parts.js';
import type {ServiceId} from '../types/ids.js';

/** Bounds the line: a crash may end requests with many different parts. */
const MAX_LOGGED_PARTS = 24;

export function logCrash(
  logger: Logger,
  service: ServiceId,
  {upstreamId, running}: UpstreamCrash,
): void {
  logger.warn(
    {
      event: 'upstream_crashed',
      service,
      upstream: upstreamId,
      running: running.length,
      parts: frequentParts(running),
    },
    'upstream process ended while it ran requests',
  );
}

/** The parts that most of the requests shared, as `ID:REQUESTS`. */
function frequentParts(running: readonly RunningRequest[]): readonly string[] {
  const counts = new Map<string, number>();
  running
    .flatMap(({item}) => sharedParts(item))
    .forEach(partId => counts.set(partId, (counts.get(partId) ?? 0) + 1));
  return [...counts]
    .sort(([, left], [, right]) => right - left)
    .slice(0, MAX_LOGGED_PARTS)
    .map(([partId, count]) => `${partId}:${count}`);
}
