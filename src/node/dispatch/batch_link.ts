/** Batches small messages to one peer into few RPC calls. */
import {monotonicNowMs} from '../clock/clock.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {GatewayError} from '../types/errors.js';

/**
 * Long enough for a peer that is alive but busy: moving its work to another
 * entry would only overload that one as well. The connection detects an
 * unresponsive peer sooner.
 */
export const BATCH_TIMEOUT_MS = 1_500;
/** Kept small, so that a busy peer gets fewer and larger calls. */
const MAX_CALLS_IN_FLIGHT = 2;
const MAX_BATCH_PARTS = 500;

export interface BatchLinkOptions<Part> {
  readonly client: RpcClient;
  readonly address: string;
  readonly method: string;
  /** Builds the parameters of one call from the parts. */
  readonly pack: (parts: readonly Part[]) => unknown;
  readonly onReply: (reply: unknown) => void;
  /** The parts may or may not have arrived. */
  readonly onFailure: (parts: readonly Part[], error: GatewayError) => void;
}

/**
 * Parts that are pushed in the same turn of the event loop share a call, as do
 * parts that are pushed while the maximum number of calls is in flight.
 */
export class BatchLink<Part> {
  private parts: Part[] = [];
  /** Send times of the calls in flight, oldest first. */
  private readonly calls = new Set<{readonly atMs: number}>();
  private isScheduled = false;
  private delayTimer: ReturnType<typeof setTimeout> | undefined;

  constructor(private readonly options: BatchLinkOptions<Part>) {}

  push(part: Part): void {
    this.parts.push(part);
    this.schedule();
  }

  /** Like `push`, but waits up to `delayMs` for other parts to share a call. */
  pushDelayed(part: Part, delayMs: number): void {
    this.parts.push(part);
    if (this.isScheduled || this.delayTimer !== undefined) return;
    this.delayTimer = setTimeout(() => this.schedule(), delayMs);
  }

  /** Age of the oldest call in flight; 0 if there is none. */
  oldestCallAgeMs(nowMs: number): number {
    const [oldest] = this.calls;
    return oldest === undefined ? 0 : nowMs - oldest.atMs;
  }

  private schedule(): void {
    clearTimeout(this.delayTimer);
    this.delayTimer = undefined;
    if (this.isScheduled || this.calls.size >= MAX_CALLS_IN_FLIGHT) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    const parts = this.parts.splice(0, MAX_BATCH_PARTS);
    if (parts.length === 0) return;
    const {client, address, method, pack, onReply, onFailure} = this.options;
    const call = {atMs: monotonicNowMs()};
    this.calls.add(call);
    const reply = await client.call<unknown>(
      address,
      method,
      pack(parts),
      BATCH_TIMEOUT_MS,
    );
    this.calls.delete(call);
    if (this.parts.length > 0) this.schedule();
    if (reply.isOk()) onReply(reply.value);
    else onFailure(parts, reply.error);
  }
}
