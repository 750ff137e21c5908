/** Retries calls that a member rejects because it is not ready yet. */
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError} from '../types/errors.js';

/**
 * Retries `attempt` while it rejects with `not_ready`, for `timeoutMs` at most.
 * Throws any other error, and the last `not_ready` after the timeout.
 */
export async function retryUntilReady<Value>(
  attempt: () => Promise<Value>,
  timeoutMs: number,
  retryIntervalMs: number,
): Promise<Value> {
  const deadlineMs = monotonicNowMs() + timeoutMs;
  for (;;) {
    try {
      return await attempt();
    } catch (thrown) {
      const isNotReady =
        thrown instanceof GatewayError && thrown.code === 'not_ready';
      if (!isNotReady || monotonicNowMs() >= deadlineMs) throw thrown;
      await new Promise(resolve => setTimeout(resolve, retryIntervalMs));
    }
  }
}
