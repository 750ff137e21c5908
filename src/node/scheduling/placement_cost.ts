/**
 * Cost of running a request in a failure domain: how near its first answer
 * comes to its target latency, and how much it delays the requests that share
 * the domain with it.
 */

/** What a request takes from a domain. */
export interface WorkSize {
  /** Time for which it holds a slot. */
  readonly slotMs: number;
  /** Engine time that its prompt takes. */
  readonly prefillMs: number;
}

/** Foreseen use of a domain, as shares of its capacity. */
export interface DomainLoad {
  /** Slots, or memory for prompts where that is scarcer. */
  readonly slots: number;
  /** Time of its engines that prefill takes; 0 for plain services. */
  readonly prefill: number;
}

/** Up to this share of its capacity a request hardly delays others. */
export const COMFORTABLE_SHARE = 0.6;
/** Bounds the pressure in a domain that is full. */
const MIN_SPARE_SHARE = 0.05;

/**
 * Time by which one unit of work delays others, in units of that work. It
 * grows without bound towards full use, as the wait in a queue does.
 */
export function pressure(share: number): number {
  const beyond = Math.max(0, share - COMFORTABLE_SHARE);
  return beyond / Math.max(MIN_SPARE_SHARE, 1 - share);
}

/** Whether one more request would delay others in the domain. */
export function isCongested({slots, prefill}: DomainLoad): boolean {
  return Math.max(slots, prefill) > COMFORTABLE_SHARE;
}

/** Time by which the request delays others, summed over them. */
export function delayToOthersMs(
  {slotMs, prefillMs}: WorkSize,
  {slots, prefill}: DomainLoad,
): number {
  return slotMs * pressure(slots) + prefillMs * pressure(prefill);
}

/**
 * Weighs the time to the first answer by its share of the target: well within
 * the target, some more time does a caller no harm.
 */
export function latenessRiskMs(
  totalMs: number,
  targetLatencyMs: number,
): number {
  return (totalMs * totalMs) / Math.max(1, targetLatencyMs);
}
