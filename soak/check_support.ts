/** What the checks of the soak share. */
import type {OperatorRecord} from './history.js';

/** Time from the end of all faults until everything is in touch again. */
export const SETTLE_MS = 6_000;

/** Time in which all entries obey a change, with the members in touch. */
export const APPLY_MS = 3_000;

/** The orders of a kind that were confirmed. */
export function confirmed(
  records: readonly OperatorRecord[],
  kind: OperatorRecord['kind'],
): readonly OperatorRecord[] {
  return records.filter(each => each.kind === kind && each.status === 200);
}

/** The message if a promise is broken. */
export function broken(isBroken: boolean, message: string): readonly string[] {
  return isBroken ? [message] : [];
}
