/**
 * The state of a stand-in model engine: running requests, a prefix cache of
 * limited size, the fencing token of the last order, and finished streams that
 * can be resumed. It imitates a batching engine; it runs no model.
 */

/** What a stand-in engine is set up with. */
export interface EngineOptions {
  readonly upstreamId: string;
  readonly modelIds: readonly string[];
  readonly slotCount: number;
  readonly checksFencing: boolean;
  /** Time to the first token without a cached prefix. */
  readonly prefillMs: number;
  /** Time between two tokens when one request runs. */
  readonly decodeMs: number;
}

/** An order to change what an engine serves. */
export interface EngineOrder {
  readonly kind: 'load' | 'unload' | 'role';
  readonly modelId?: string;
  readonly role?: string;
  readonly fencingToken: number;
  readonly holder: string;
}

/** A prefix cache event, numbered so that a reader sees gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

/** The load that an engine reports. */
export interface EngineLoad {
  readonly upstreamId: string;
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly slotCount: number;
  readonly loadedModelIds: readonly string[];
  readonly leaving: boolean;
  readonly cacheSequence: number;
}

const MAX_CACHED_PREFIXES = 64;
const MAX_CACHE_EVENTS = 256;
const CACHED_PREFILL_SHARE = 0.25;
// Each further request in a batch slows every token of the batch a little.
const BATCH_SLOWDOWN_PER_REQUEST = 0.05;

/** One stand-in engine. */
export class EngineState {
  readonly runningIds = new Set<string>();
  readonly executions: string[] = [];
  readonly orders: EngineOrder[] = [];
  readonly cancelledIds: string[] = [];
  leaving = false;
  /** Accepts connections but sends nothing more on those that are open. */
  silent = false;
  private waiting: Array<() => void> = [];
  private readonly loadedModels: Set<string>;
  private readonly prefixes = new Set<string>();
  private cacheEvents: CacheEvent[] = [];
  private cacheSequence = 0;
  private lastToken = 0;

  constructor(readonly options: EngineOptions) {
    this.loadedModels = new Set(options.modelIds);
  }

  serves(modelId: string): boolean {
    return this.loadedModels.has(modelId);
  }

  /** Waits for a slot, runs, and frees the slot with the returned function. */
  async takeSlot(requestId: string): Promise<() => void> {
    if (this.runningIds.size >= this.options.slotCount) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
    this.runningIds.add(requestId);
    this.executions.push(requestId);
    return () => {
      if (!this.runningIds.delete(requestId)) return;
      this.waiting.shift()?.();
    };
  }

  /** Time to the first token; remembers the prefix. */
  prefillMsFor(prefix: string): number {
    const cached = this.prefixes.delete(prefix);
    this.prefixes.add(prefix);
    if (!cached) this.recordCacheEvent('stored', prefix);
    this.evictPrefixes();
    const {prefillMs} = this.options;
    return cached ? prefillMs * CACHED_PREFILL_SHARE : prefillMs;
  }

  tokenMs(): number {
    const others = Math.max(0, this.runningIds.size - 1);
    return this.options.decodeMs * (1 + others * BATCH_SLOWDOWN_PER_REQUEST);
  }

  /** Carries out an order; `false` if its fencing token is too old. */
  order(order: EngineOrder): boolean {
    const stale = order.fencingToken < this.lastToken;
    if (this.options.checksFencing && stale) return false;
    this.lastToken = Math.max(this.lastToken, order.fencingToken);
    this.orders.push(order);
    if (order.modelId === undefined) return true;
    if (order.kind === 'load') this.loadedModels.add(order.modelId);
    if (order.kind === 'unload') this.loadedModels.delete(order.modelId);
    return true;
  }

  load(): EngineLoad {
    return {
      upstreamId: this.options.upstreamId,
      runningCount: this.runningIds.size,
      queuedCount: this.waiting.length,
      slotCount: this.options.slotCount,
      loadedModelIds: [...this.loadedModels].sort(),
      leaving: this.leaving,
      cacheSequence: this.cacheSequence,
    };
  }

  cacheEventsAfter(sequence: number): readonly CacheEvent[] {
    return this.cacheEvents.filter(event => event.sequence > sequence);
  }

  private evictPrefixes(): void {
    if (this.prefixes.size <= MAX_CACHED_PREFIXES) return;
    const [oldest] = this.prefixes;
    if (oldest === undefined) return;
    this.prefixes.delete(oldest);
    this.recordCacheEvent('evicted', oldest);
  }

  private recordCacheEvent(kind: CacheEvent['kind'], prefix: string): void {
    this.cacheSequence += 1;
    this.cacheEvents.push({sequence: this.cacheSequence, kind, prefix});
    this.cacheEvents = this.cacheEvents.slice(-MAX_CACHE_EVENTS);
  }
}
