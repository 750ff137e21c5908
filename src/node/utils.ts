/** Small helpers that several areas share. */

/** A time limit that can be lifted before it has passed. */
export interface TimeLimit {
  readonly signal: AbortSignal;
  lift(): void;
}

/**
 * A signal that aborts after a time. `AbortSignal.timeout` is not used because
 * tests that pause the clock do not reach it.
 */
export function timeoutSignal(timeoutMs: number): AbortSignal {
  return createTimeLimit(timeoutMs).signal;
}

/** A limit for one step of a longer exchange, such as the head of an answer. */
export function createTimeLimit(timeoutMs: number): TimeLimit {
  const controller = new AbortController();
  const timer = setTimeout(
    () => controller.abort(new DOMException('timed out', 'TimeoutError')),
    Math.max(1, Math.ceil(timeoutMs)),
  );
  timer.unref();
  return {signal: controller.signal, lift: () => clearTimeout(timer)};
}
