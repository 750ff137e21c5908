/** Classifies the end of a try at an upstream. */
import {isRepeatable, type Route} from '../routes/route_table.js';
import type {PlacementOutcome} from '../scheduling/types.js';
import type {ResponseReader} from './response_reader.js';
import type {ExchangeEnd} from './exchange.js';
import type {TryResult} from './types.js';

/** Cause of a try that was abandoned because its upstream sent no data. */
export const RESPONSE_TIMEOUT_CAUSE = 'upstream sent no data in time';

/** The end of an exchange, which may be complete although its stream is not. */
export function endOfTry(
  end: ExchangeEnd,
  reader: ResponseReader,
): ExchangeEnd {
  return end.kind === 'complete' && reader.isTorn
    ? {kind: 'broken', cause: 'stream ended inside an event'}
    : end;
}

/** The outcome of the placement, as reported to the scheduler. */
export function outcomeOf(
  end: ExchangeEnd,
  result: TryResult,
  reader: ResponseReader,
): PlacementOutcome {
  if (end.kind === 'aborted') return 'cancelled';
  if (end.kind === 'not_sent') return 'unreachable';
  if (result.kind === 'not_run') return 'rejected';
  if (end.kind === 'broken') {
    return end.cause === RESPONSE_TIMEOUT_CAUSE ? 'silent' : 'broken';
  }
  return reader.isSuccess || (reader.head?.status ?? 0) < 500
    ? 'answered'
    : 'failed';
}

/**
 * Whether callers would take a response for a promise that the request did not run,
 * although its upstream does not state that. A caller may repeat any request that is
 * repeatable, so it needs no promise.
 */
export function isFalsePromise({head}: ResponseReader, route: Route): boolean {
  if (head === undefined || isRepeatable(route)) return false;
  return head.traits.isReadAsNotRun && !head.traits.isNotRun;
}

/** Why a try failed, for the log: the exchange error or the HTTP status. */
export function causeOf(
  end: ExchangeEnd,
  reader: ResponseReader,
): string | undefined {
  if ('cause' in end) return end.cause;
  return reader.head === undefined ? undefined : `status ${reader.head.status}`;
}
