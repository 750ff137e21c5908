/** What the end of one try tells about the upstream that it went to. */
import type {PlacementOutcome} from '../scheduling/types.js';
import type {AnswerReader} from './answer_reader.js';
import type {ExchangeEnd} from './exchange.js';
import type {TryResult} from './types.js';

/** The cause of a try that was given up because its upstream was silent. */
export const NO_ANSWER = 'no answer in time';

/** How the placement of a try ended. */
export function outcomeOf(
  end: ExchangeEnd,
  result: TryResult,
  reader: AnswerReader,
): PlacementOutcome {
  if (end.kind === 'aborted') return 'cancelled';
  if (end.kind === 'not_sent') return 'unreachable';
  if (result.kind === 'not_run') return 'rejected';
  if (end.kind === 'broken') {
    return end.cause === NO_ANSWER ? 'silent' : 'broken';
  }
  return reader.isSuccess || (reader.head?.status ?? 0) < 500
    ? 'answered'
    : 'failed';
}

/** Why a try failed, for the log. */
export function causeOf(
  end: ExchangeEnd,
  reader: AnswerReader,
): string | undefined {
  if ('cause' in end) return end.cause;
  return reader.head === undefined ? undefined : `status ${reader.head.status}`;
}
