/** Waits until the bytes of a response have left the process. */
import type {ServerResponse} from 'node:http';

/**
 * Resolves when the response is delivered or its connection has closed. With
 * `timeoutMs`, a connection whose caller has not read the response by then is
 * destroyed.
 */
export async function waitForDelivery(
  response: ServerResponse,
  timeoutMs?: number,
): Promise<void> {
  if (response.closed || response.writableFinished) return;
  await new Promise<void>(resolve => {
    const timer =
      timeoutMs === undefined
        ? undefined
        : setTimeout(() => response.destroy(), timeoutMs);
    response.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
