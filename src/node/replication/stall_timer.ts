/** Reports an operation that takes too long while it still runs. */
import {GatewayError} from '../types/errors.js';

export class StallTimer {
  private timer: ReturnType<typeof setTimeout> | undefined;

  constructor(
    private readonly stallMs: number,
    private readonly onStall: (error: GatewayError) => void,
  ) {}

  start(): void {
    this.stop();
    this.timer = setTimeout(
      () => this.onStall(this.stallError()),
      this.stallMs,
    );
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private stallError(): GatewayError {
    return new GatewayError({
      code: 'timeout',
      message: `a write has taken more than ${this.stallMs} ms`,
      step: 'storage.write',
      peer: 'self',
      work: 'unknown',
    });
  }
}
