/** Waits for a condition that nothing announces. */

const CHECK_INTERVAL_MS = 50;

/** Resolves once `isDone` holds. */
export function waitUntil(isDone: () => boolean): Promise<void> {
  return new Promise(resolve => {
    const timer = setInterval(() => {
      if (!isDone()) return;
      clearInterval(timer);
      resolve();
    }, CHECK_INTERVAL_MS);
  });
}
