/** Tracks requests in flight, so that a planned stop can wait for them. */

/** The requests that an instance is running now. */
export class InFlightRequests {
  private readonly running = new Set<object>();
  private readonly drains = new Set<Drain>();

  /** Runs `work` as one request in flight. */
  async track<Value>(work: () => Promise<Value>): Promise<Value> {
    const request = {};
    this.running.add(request);
    try {
      return await work();
    } finally {
      this.running.delete(request);
      this.drains.forEach(drain => {
        drain.remaining.delete(request);
        if (drain.remaining.size === 0) drain.done();
      });
    }
  }

  size(): number {
    return this.running.size;
  }

  /**
   * Waits until the requests that are in flight now have ended, or until the
   * timeout; resolves with whether all have ended. Later requests do not
   * count: those rejected during a stop must not prolong it.
   */
  async drain(timeoutMs: number): Promise<boolean> {
    const remaining = new Set(this.running);
    if (remaining.size === 0) return true;
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>(resolve => {
      const drain: Drain = {remaining, done: resolve};
      this.drains.add(drain);
      timer = setTimeout(resolve, timeoutMs);
    });
    clearTimeout(timer);
    this.drains.forEach(drain => {
      if (drain.remaining === remaining) this.drains.delete(drain);
    });
    return remaining.size === 0;
  }
}

interface Drain {
  readonly remaining: Set<object>;
  readonly done: () => void;
}
