/** Pending calls on the log: proposals, membership changes and reads. */
import {GatewayError} from '../types/errors.js';

/** A call of `propose`, `changeMembership` or `readBarrier`. */
interface Waiter {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: GatewayError) => void;
  readonly timer: ReturnType<typeof setTimeout>;
  /** Set once the entry of the call is in the leader's log. */
  index?: number;
}

interface PendingEntry {
  readonly id: number;
  readonly term: number;
}

export class Waiters {
  private readonly byId = new Map<number, Waiter>();
  private readonly byIndex = new Map<number, readonly PendingEntry[]>();
  private reads: {readonly id: number; readonly index: number}[] = [];
  private lastId = 0;

  /** Number of pending calls. */
  get size(): number {
    return this.byId.size;
  }

  /**
   * Starts a call and passes its id to `begin`. The promise rejects with a
   * `GatewayError`.
   */
  start<Value>(
    step: string,
    timeoutMs: number,
    begin: (id: number) => void,
  ): Promise<Value> {
    const id = ++this.lastId;
    return new Promise<Value>((resolve, reject) => {
      const timer = setTimeout(() => {
        const isAppended = this.byId.get(id)?.index !== undefined;
        this.fail(id, timeoutError(step, isAppended));
      }, timeoutMs);
      this.byId.set(id, {
        resolve: resolve as (value: unknown) => void,
        reject,
        timer,
      });
      begin(id);
    });
  }

  /** Records index and term of the log entry of a call. */
  setEntry(id: number, index: number, term: number): void {
    const waiter = this.byId.get(id);
    if (waiter === undefined) return;
    waiter.index = index;
    const others = this.byIndex.get(index) ?? [];
    this.byIndex.set(index, [...others, {id, term}]);
  }

  /**
   * Completes the calls waiting for `index` after its entry was applied. Those
   * whose entry had another term were replaced by another leader and fail.
   */
  completeApplied(index: number, term: number, result: unknown): void {
    const positions = this.byIndex.get(index) ?? [];
    this.byIndex.delete(index);
    positions.forEach(position => {
      if (position.term === term) this.succeed(position.id, result);
      else this.fail(position.id, replacedError());
    });
  }

  /** Fails calls whose entries a snapshot covers: their results are lost. */
  failCovered(index: number): void {
    [...this.byIndex]
      .filter(([position]) => position <= index)
      .forEach(([position, waiting]) => {
        this.byIndex.delete(position);
        waiting.forEach(({id}) =>
          this.fail(id, timeoutError('replication.propose', true)),
        );
      });
  }

  /** Completes a read once `index` is applied. */
  completeReadAt(id: number, index: number, appliedIndex: number): void {
    if (index <= appliedIndex) this.succeed(id, undefined);
    else this.reads.push({id, index});
  }

  /** Completes the reads that wait for `appliedIndex` or less. */
  completeReads(appliedIndex: number): void {
    if (this.reads.length === 0) return;
    const ready = this.reads.filter(read => read.index <= appliedIndex);
    this.reads = this.reads.filter(read => read.index > appliedIndex);
    ready.forEach(read => this.succeed(read.id, undefined));
  }

  succeed(id: number, value: unknown): void {
    this.remove(id)?.resolve(value);
  }

  fail(id: number, error: GatewayError): void {
    this.remove(id)?.reject(error);
  }

  /** Fails all calls because the member stops. */
  failAll(message: string): void {
    [...this.byId].forEach(([id, waiter]) =>
      this.fail(
        id,
        new GatewayError({
          code: 'stopping',
          message,
          step: 'replication.stop',
          peer: 'self',
          work: waiter.index === undefined ? 'not_run' : 'unknown',
        }),
      ),
    );
  }

  private remove(id: number): Waiter | undefined {
    const waiter = this.byId.get(id);
    if (waiter === undefined) return undefined;
    clearTimeout(waiter.timer);
    this.byId.delete(id);
    return waiter;
  }
}

function timeoutError(step: string, isAppended: boolean): GatewayError {
  return new GatewayError({
    code: 'timeout',
    message: 'the group did not confirm the call in time',
    step,
    peer: 'self',
    work: isAppended ? 'unknown' : 'not_run',
  });
}

function replacedError(): GatewayError {
  return new GatewayError({
    code: 'not_leader',
    message: 'another leader replaced the entry before it was committed',
    step: 'replication.propose',
    peer: 'self',
  });
}
