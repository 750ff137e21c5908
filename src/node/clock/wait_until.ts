/** Waits by polling for a condition that has no event. */

const CHECK_INTERVAL_MS = 50;

/** Resolves once `isDone` returns true. */
export function waitUntil(isDone: () => boolean): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(() => {
      if (!isDone()) return;
      clearInterval(timer);
      resolve();
    }, CHECK_INTERVAL_MS);
  });
}
