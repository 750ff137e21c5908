/** Checks that orders about evacuations hold until the opposite order is sent. */
import {broken, confirmed, SETTLE_MS} from './check_support.js';
import type {History, OperatorRecord} from './history.js';

const EVACUATION_MS = 5_000;
/** Time in which some request of its callers must run in a domain. */
const RETURN_MS = 6_000;

/**
 * Nothing runs in a domain from some time after its evacuation was confirmed
 * until the order to take it back. If entries were out of touch, this is asked
 * only once the faults are over.
 */
export function checkEvacuations({
  operator,
  runs,
  calmAtMs,
  entriesKeepTouch,
}: History): readonly string[] {
  return confirmed(operator, 'evacuate').flatMap(order => {
    const dueAtMs = order.endedAtMs + EVACUATION_MS;
    const fromMs = entriesKeepTouch
      ? dueAtMs
      : Math.max(dueAtMs, calmAtMs + SETTLE_MS);
    const untilMs = undoneAtMs(order, 'return', operator);
    const late = runs.filter(
      run =>
        run.domain === order.text &&
        run.startedAtMs > fromMs &&
        run.startedAtMs < untilMs,
    );
    return broken(
      late.length > 0,
      `${late.length} requests ran in evacuated ${order.text}`,
    );
  });
}

/** A domain that was taken back runs requests again once the faults are over. */
export function checkReturns({
  operator,
  calls,
  runs,
  calmAtMs,
}: History): readonly string[] {
  const endMs = Math.max(...calls.map(call => call.sentAtMs));
  return confirmed(operator, 'return').flatMap(order => {
    const {endedAtMs, text: domain} = order;
    const fromMs = Math.max(endedAtMs, calmAtMs) + SETTLE_MS;
    const isUndone = undoneAtMs(order, 'evacuate', operator) < endMs;
    if (isUndone || fromMs + RETURN_MS > endMs) return [];
    return broken(
      runs.every(run => run.domain !== domain || run.startedAtMs < fromMs),
      `nothing ran in ${domain}, which was taken back`,
    );
  });
}

/**
 * When an order of the opposite kind was sent that may have come after `order`.
 * One that its operator gave up before has to stay without effect.
 */
function undoneAtMs(
  order: OperatorRecord,
  kind: OperatorRecord['kind'],
  records: readonly OperatorRecord[],
): number {
  const opposite = records.filter(
    each =>
      each.kind === kind &&
      each.text === order.text &&
      each.endedAtMs > order.sentAtMs,
  );
  return Math.min(...opposite.map(each => each.sentAtMs));
}
