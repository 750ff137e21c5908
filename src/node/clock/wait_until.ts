/** Waits by polling for a condition that has no event. */

/** How often a condition is checked unless the caller needs it sooner. */
export const CHECK_INTERVAL_MS = 50;

/** Resolves once `isDone` returns true. */
export function waitUntil(
  isDone: () => boolean,
  intervalMs = CHECK_INTERVAL_MS,
): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(() => {
      if (!isDone()) return;
      clearInterval(timer);
      resolve();
    }, intervalMs);
  });
}
