/** The requests that wait for the first route table. */
export class TableWaiters {
  private readonly waiters: (() => void)[] = [];

  /** Resolves when there is a route table, or after `waitMs`. */
  wait(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      this.waiters.push(resolve);
      setTimeout(resolve, waitMs).unref();
    });
  }

  resumeAll(): void {
    this.waiters.splice(0).forEach(resume => resume());
  }
}
