/** How long callers that come back after a refusal may wait in the queue. */
import type {Forecast} from './forecast.js';
import type {WorkItem} from './types.js';

/**
 * A caller that comes back when told to may not come again, so it is answered
 * late rather than refused; after this many targets callers give up.
 */
const MAX_LATE_TARGETS = 2;
/**
 * A queue this short, in targets, has room for callers whose answer is late
 * anyway: new ones will still be answered in time.
 */
const SPARE_ROOM_WAIT_SHARE = 0.25;

/** The latest useful time to the first answer of a caller that came back. */
export function maxLateMs({targetLatencyMs, remainingMs}: WorkItem): number {
  return Math.min(remainingMs, targetLatencyMs * MAX_LATE_TARGETS);
}

/**
 * Whether a caller that comes back is admitted: if it is due, it need only be
 * answered before it gives up; otherwise new requests must not need its room.
 */
export function isInTurn(
  item: WorkItem,
  {waitMs, answerMs}: Forecast,
  isDue: boolean,
): boolean {
  return isDue
    ? item.ageMs + waitMs + answerMs <= maxLateMs(item)
    : waitMs <= item.targetLatencyMs * SPARE_ROOM_WAIT_SHARE;
}
