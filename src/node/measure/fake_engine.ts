/**
 * A small fake of a model engine: a batch of requests that slow each other
 * down, a queue by priority, and a prefix cache of limited size. Requests
 * share the engine's speed, so every change of the batch moves all ends.
 */
import type {Digest, RequestId, UpstreamId} from '../types/ids.js';
import type {UpstreamConfig} from '../config/configuration.js';
import type {EventQueue} from './event_queue.js';
import type {Job} from './job.js';

/**
 * A full batch runs each request at 1 / (1 + this) of the speed of a batch of
 * one: decoding is bound by memory, so a batch costs far less than its size.
 */
export const FULL_BATCH_SLOWDOWN = 0.5;
/** Part of the prefill work that remains with a cached prefix. */
export const WARM_PREFILL_SHARE = 0.35;
/** Prefixes that the cache holds. */
const CACHED_PREFIXES = 24;
/** Requests that may wait inside the engine. */
const MAX_WAITING = 64;

/** What the sender of a request hears. */
export interface EngineListener {
  onFirstToken(): void;
  onDone(): void;
  /** The engine died. */
  onLost(): void;
}

interface Task {
  readonly job: Job;
  readonly listener: EngineListener;
  remainingPrefillMs: number;
  remainingDecodeMs: number;
  hasFirstToken: boolean;
  tokens: number;
}

/** One engine. */
export class FakeEngine {
  readonly upstreamId: UpstreamId;
  isAlive = true;
  private running: Task[] = [];
  private waiting: Task[] = [];
  private readonly cache = new Map<Digest, true>();
  private advancedAtMs = 0;
  private version = 0;

  constructor(
    readonly config: UpstreamConfig,
    private readonly events: EventQueue,
    /** Hears the tokens of each request that leaves, answered or not. */
    private readonly onTokens: (job: Job, tokenCount: number) => void,
  ) {
    this.upstreamId = config.upstreamId;
  }

  get runningCount(): number {
    return this.running.length;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Takes a request, or refuses it before it runs. */
  submit(job: Job, listener: EngineListener): 'accepted' | 'refused' {
    if (!this.isAlive || this.waiting.length >= MAX_WAITING) return 'refused';
    this.advance();
    const task: Task = {
      job,
      listener,
      remainingPrefillMs: job.prefillMs,
      remainingDecodeMs: job.tokenCount * job.decodeMs,
      hasFirstToken: false,
      tokens: 0,
    };
    const position = this.waiting.findIndex(
      each => each.job.priority > job.priority,
    );
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, task);
    this.fill();
    this.schedule();
    return 'accepted';
  }

  /** Stops a request; work done so far stays paid. */
  cancel(requestId: RequestId): void {
    this.advance();
    const isOther = (task: Task): boolean => task.job.requestId !== requestId;
    this.running.filter(task => !isOther(task)).forEach(task => this.pay(task));
    this.running = this.running.filter(isOther);
    this.waiting = this.waiting.filter(isOther);
    this.fill();
    this.schedule();
  }

  /** The process dies with everything that it ran and cached. */
  kill(): void {
    this.advance();
    const lost = [...this.running, ...this.waiting];
    lost.forEach(task => this.pay(task));
    this.isAlive = false;
    this.running = [];
    this.waiting = [];
    this.cache.clear();
    this.version += 1;
    lost.forEach(task => task.listener.onLost());
  }

  /** The process is back, with a cold cache. */
  revive(): void {
    this.advance();
    this.isAlive = true;
  }

  private pay(task: Task): void {
    this.onTokens(task.job, task.tokens);
  }

  private speed(): number {
    const others = Math.max(0, this.running.length - 1);
    const fill = others / Math.max(1, this.config.slotCount - 1);
    return 1 / (1 + FULL_BATCH_SLOWDOWN * fill);
  }

  /** Does the work since the last change of the batch. */
  private advance(): void {
    const workMs = (this.events.nowMs - this.advancedAtMs) * this.speed();
    this.advancedAtMs = this.events.nowMs;
    this.running.forEach(task => {
      const prefill = Math.min(workMs, task.remainingPrefillMs);
      const decode = Math.min(workMs - prefill, task.remainingDecodeMs);
      task.remainingPrefillMs -= prefill;
      task.remainingDecodeMs -= decode;
      task.tokens += decode / task.job.decodeMs;
    });
  }

  private fill(): void {
    while (
      this.running.length < this.config.slotCount &&
      this.waiting.length > 0
    ) {
      const task = this.waiting.shift() as Task;
      if (this.touchPrefix(task.job.prefixDigest)) {
        task.remainingPrefillMs *= WARM_PREFILL_SHARE;
      }
      this.running.push(task);
    }
  }

  /** Marks a prefix as used; true if it was cached. */
  private touchPrefix(prefix: Digest): boolean {
    const isCached = this.cache.delete(prefix);
    this.cache.set(prefix, true);
    const [oldest] = this.cache.keys();
    if (this.cache.size > CACHED_PREFIXES && oldest !== undefined) {
      this.cache.delete(oldest);
    }
    return isCached;
  }

  /** Plans the next first token or end of the batch. */
  private schedule(): void {
    this.version += 1;
    if (this.running.length === 0) return;
    const {version} = this;
    const leastMs = this.running.reduce(
      (least, task) => Math.min(least, nextStepMs(task)),
      Infinity,
    );
    this.events.after(leastMs / this.speed(), () => {
      if (version === this.version) this.step();
    });
  }

  private step(): void {
    this.advance();
    const started = this.running.filter(
      task => task.remainingPrefillMs <= EPSILON_MS && !task.hasFirstToken,
    );
    const done = this.running.filter(
      task => task.remainingPrefillMs + task.remainingDecodeMs <= EPSILON_MS,
    );
    this.running = this.running.filter(task => !done.includes(task));
    started.forEach(task => (task.hasFirstToken = true));
    done.forEach(task => this.pay(task));
    this.fill();
    this.schedule();
    started.forEach(task => task.listener.onFirstToken());
    done.forEach(task => task.listener.onDone());
  }
}

/** Rounding of virtual time. */
const EPSILON_MS = 1e-6;

function nextStepMs(task: Task): number {
  return task.hasFirstToken
    ? task.remainingDecodeMs
    : Math.max(0, task.remainingPrefillMs);
}
