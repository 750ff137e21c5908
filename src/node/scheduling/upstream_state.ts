/** What the scheduler believes about one upstream. */
import type {InstanceId, RequestId} from '../types/ids.js';
import {
  AVERAGE_WEIGHT,
  BASE_FIRST_ANSWER_MS,
  DECODE_MS_PER_TOKEN,
  MAX_PREFILL_BACKLOG_MS,
  INITIAL_SERVICE_MS,
  PLACEMENT_GRACE_MS,
  PREFILL_TOKENS_PER_MS,
  USABLE_CACHE_SHARE,
} from './constants.js';
import {PrefixCache} from './prefix_cache.js';
import {sharedTokens, type PromptEstimates} from './prompt_estimates.js';
import {SlotOvercommit} from './slot_overcommit.js';
import {StartPacer} from './start_pacer.js';
import type {
  ListedUpstream,
  PlacementOutcome,
  Release,
  ServiceTraits,
  WorkItem,
} from './types.js';

interface Placement {
  readonly item: WorkItem;
  readonly startedAtMs: number;
  readonly expiresAtMs: number;
  readonly expectedMs: number;
  /** Tokens that it alone occupies. */
  readonly ownTokens: number;
}

/** Outcomes that tell on the upstream's health. */
const FAILURE_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  'failed',
  'broken',
  'unreachable',
  'silent',
]);
/** Weight of one first answer in the estimate of an engine's speed. */
const SLOWNESS_WEIGHT = 0.05;
const MIN_SAMPLE_MS = 70;
/** An upstream that failed is tried again after some of these. */
const FAILURE_DECAY_MS = 10_000;
/** Placements whose end nobody told are rare. */
const EXPIRY_CHECK_MS = 200;
/** Reading fewer tokens is as quick as fetching them. */
const MIN_FETCH_TOKENS = 300;
const MAX_SLOWNESS = 6;
const MIN_SLOWNESS = 0.6;

/** One upstream with the requests that run on it. */
export class UpstreamState {
  readonly cache = new PrefixCache();
  readonly pacer = new StartPacer();
  /** Down until a probe succeeds. */
  isDown = false;
  /** An entry waits for it in vain; a probe is under way. */
  isSuspected = false;
  /** When it last ended a request with an answer. */
  answeredAtMs = Number.NEGATIVE_INFINITY;
  /** Cold, or not known to be warm, until then. */
  coldUntilMs = 0;
  /** A list read before this time does not tell that it is warm. */
  minWarmReadAtMs = 0;
  private readonly placements = new Map<RequestId, Placement>();
  private prefillUntilMs = 0;
  private usedTokens = 0;
  /** Sum over the placements. */
  private outputTokens = 0;
  private nextExpiryCheckAtMs = 0;
  private failureShare = 0;
  private failuresAtMs = 0;
  private slowness = 1;
  private serviceMs = INITIAL_SERVICE_MS;
  /** How much longer plain calls hold a place here than they run. */
  private readonly overcommit = new SlotOvercommit();

  constructor(
    public listed: ListedUpstream,
    public traits: ServiceTraits,
    private readonly estimates: PromptEstimates,
  ) {}

  get running(): number {
    return this.placements.size;
  }

  get freeSlots(): number {
    const {slots} = this.listed;
    const limit = this.isEngine ? slots : this.overcommit.placementLimit(slots);
    return Math.max(0, limit - this.placements.size);
  }

  get freeTokens(): number {
    return Math.max(0, this.capacityTokens - this.usedTokens);
  }

  get capacityTokens(): number {
    return this.traits.kvCacheTokens * USABLE_CACHE_SHARE;
  }

  get isEngine(): boolean {
    return this.traits.kvCacheTokens > 0;
  }

  /** Share of the latest requests that failed, 0 to 1; it fades with time. */
  recentFailureShare(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.failuresAtMs);
    return this.failureShare * Math.exp(-elapsedMs / FAILURE_DECAY_MS);
  }

  /** A request got no answer for longer than it should. */
  noteStall(nowMs: number): void {
    this.noteFailure(1, nowMs);
  }

  /** Mean time of a plain call. */
  get meanServiceMs(): number {
    return this.serviceMs;
  }

  /** Time until all prompts that it got are read. */
  backlogMs(nowMs: number): number {
    return Math.max(0, this.prefillUntilMs - nowMs);
  }

  isCold(nowMs: number): boolean {
    return this.traits.coldRequestsPerS > 0 && this.coldUntilMs > nowMs;
  }

  /** Whether it may get the request now. */
  canTake(item: WorkItem, nowMs: number): boolean {
    if (!this.isOpen(nowMs)) return false;
    return !this.isEngine || this.ownTokens(item) <= this.freeTokens;
  }

  /** Whether it may get any request now. */
  isOpen(nowMs: number): boolean {
    if (this.isDown || this.listed.isDraining || this.freeSlots === 0) {
      return false;
    }
    if (this.isCold(nowMs) && this.pacer.readyAtMs() > nowMs) return false;
    return !this.isEngine || this.backlogMs(nowMs) <= MAX_PREFILL_BACKLOG_MS;
  }

  /** How much slower it answers than an engine of nominal speed. */
  get slownessFactor(): number {
    return this.slowness;
  }

  /** Time to read a prompt less what the cache or another engine holds. */
  prefillMs(item: WorkItem, nowMs: number): number {
    const {prompt} = item;
    if (prompt === undefined) return 0;
    const cached = this.estimates.cachedTokens(prompt, this, nowMs);
    const held = this.estimates.holder(prompt, nowMs)?.tokens ?? 0;
    const fetched = this.traits.fetchMsPerToken > 0 ? held - cached : 0;
    const known = cached + Math.max(0, fetched);
    const missing = Math.max(0, prompt.promptTokens - known);
    return (
      (missing / PREFILL_TOKENS_PER_MS) * this.slowness +
      Math.max(0, fetched) * this.traits.fetchMsPerToken
    );
  }

  /** Expected time to the first answer if it gets the request now. */
  expectedMs(item: WorkItem, nowMs: number): number {
    if (!this.isEngine) return this.serviceMs;
    return (
      BASE_FIRST_ANSWER_MS * this.slowness +
      this.backlogMs(nowMs) +
      this.prefillMs(item, nowMs)
    );
  }

  /** The engine from which it should fetch the beginning of a prompt. */
  fetchSource(item: WorkItem, nowMs: number): UpstreamState | undefined {
    const {prompt} = item;
    if (this.traits.fetchMsPerToken === 0 || prompt === undefined) {
      return undefined;
    }
    const holder = this.estimates.holder(prompt, nowMs);
    const cached = this.cache.cachedTokens(prompt.parts);
    const isWorthFetching =
      holder !== undefined && holder.tokens - cached >= MIN_FETCH_TOKENS;
    return isWorthFetching ? holder.upstream : undefined;
  }

  /** A request is sent to it now. */
  start(item: WorkItem, nowMs: number): void {
    const expectedMs = this.expectedMs(item, nowMs);
    this.prefillUntilMs =
      Math.max(this.prefillUntilMs, nowMs) + this.prefillMs(item, nowMs);
    if (this.isCold(nowMs)) {
      this.pacer.noteStart(this.traits.coldRequestsPerS, nowMs);
    }
    this.addPlacement(item, expectedMs, nowMs);
  }

  /** A request runs on it that another scheduler sent there. */
  adopt(item: WorkItem, nowMs: number): void {
    this.addPlacement(item, this.expectedMs(item, nowMs), nowMs);
  }

  /** Ends a placement; an unknown one changes nothing. */
  end(release: Release, nowMs: number): void {
    const placement = this.placements.get(release.requestId);
    if (placement === undefined) return;
    this.removePlacement(placement);
    if (release.outcome === 'cancelled') return;
    if (release.outcome === 'rejected') this.overcommit.reset();
    this.noteFailure(FAILURE_OUTCOMES.has(release.outcome) ? 1 : 0, nowMs);
    if (release.outcome !== 'answered') return;
    this.answeredAtMs = nowMs;
    this.overcommit.note(nowMs - placement.startedAtMs, release.totalMs);
    this.updateEstimates(placement, release);
  }

  /** Forgets placements whose entry never told their end. */
  expire(nowMs: number): void {
    if (nowMs < this.nextExpiryCheckAtMs) return;
    this.nextExpiryCheckAtMs = nowMs + EXPIRY_CHECK_MS;
    [...this.placements.values()]
      .filter(each => each.expiresAtMs <= nowMs)
      .forEach(each => this.removePlacement(each));
  }

  /** Entries that run something on it. */
  entries(): readonly InstanceId[] {
    return [...new Set([...this.placements.values()].map(e => e.item.entry))];
  }

  /** Forgets the placements of an entry that is gone. */
  forgetEntry(entry: WorkItem['entry']): void {
    [...this.placements.values()]
      .filter(each => each.item.entry === entry)
      .forEach(each => this.removePlacement(each));
  }

  /** It began a new lifetime: it holds and runs nothing. */
  reset(): void {
    this.placements.clear();
    this.cache.clear();
    this.usedTokens = 0;
    this.outputTokens = 0;
    this.prefillUntilMs = 0;
    this.failureShare = 0;
    this.overcommit.reset();
  }

  /** How many slots become free in a millisecond when all are taken. */
  get slotsFreedPerMs(): number {
    const meanMs = this.isEngine ? this.meanStreamMs() : this.serviceMs;
    return this.listed.slots / Math.max(1, meanMs);
  }

  private noteFailure(failure: 0 | 1, nowMs: number): void {
    const share = this.recentFailureShare(nowMs);
    this.failureShare = share + AVERAGE_WEIGHT * (failure - share);
    this.failuresAtMs = nowMs;
  }

  private addPlacement(
    item: WorkItem,
    expectedMs: number,
    nowMs: number,
  ): void {
    const ownTokens = this.ownTokens(item);
    const replaced = this.placements.get(item.requestId);
    if (replaced !== undefined) this.removePlacement(replaced);
    this.placements.set(item.requestId, {
      item,
      startedAtMs: nowMs,
      ownTokens,
      expectedMs,
      expiresAtMs: nowMs + item.remainingMs + PLACEMENT_GRACE_MS,
    });
    this.usedTokens += ownTokens;
    if (item.prompt === undefined) return;
    this.outputTokens += item.prompt.expectedOutputTokens;
    this.cache.touch(item.prompt.parts);
    this.cache.shrinkTo(Math.max(0, this.capacityTokens - this.usedTokens));
  }

  private meanStreamMs(): number {
    const mean = this.outputTokens / Math.max(1, this.placements.size);
    return Math.max(1, mean) * DECODE_MS_PER_TOKEN * this.slowness;
  }

  private updateEstimates(placement: Placement, release: Release): void {
    if (!this.isEngine) {
      this.serviceMs += AVERAGE_WEIGHT * (release.totalMs - this.serviceMs);
      return;
    }
    // The first answer to a short prompt tells of the network, not of reading.
    const {expectedMs} = placement;
    if (release.firstAnswerMs <= 0 || expectedMs < MIN_SAMPLE_MS) return;
    const ratio = (this.slowness * release.firstAnswerMs) / expectedMs;
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    this.slowness += SLOWNESS_WEIGHT * (bounded - this.slowness);
  }

  private removePlacement(placement: Placement): void {
    this.placements.delete(placement.item.requestId);
    this.usedTokens -= placement.ownTokens;
    this.outputTokens -= placement.item.prompt?.expectedOutputTokens ?? 0;
  }

  // Shared parts are counted by the cache; what a request alone occupies is
  // its last part, what no part names, and its output.
  private ownTokens(item: WorkItem): number {
    const {prompt} = item;
    if (prompt === undefined) return 0;
    const own = Math.max(0, prompt.promptTokens - sharedTokens(prompt.parts));
    return own + prompt.expectedOutputTokens;
  }
}
