/** The scheduler's view of one upstream. */
import type {InstanceId, RequestId, SoftwareVersion} from '../types/ids.js';
import {
  AVERAGE_WEIGHT,
  BASE_FIRST_ANSWER_MS,
  COLD_RATE_SHARE,
  DECODE_MS_PER_TOKEN,
  MAX_PREFILL_BACKLOG_MS,
  INITIAL_SERVICE_MS,
  PLACEMENT_GRACE_MS,
  PREFILL_TOKENS_PER_MS,
  USABLE_CACHE_SHARE,
} from './constants.js';
import type {RunningRequest} from './crash_watch.js';
import {EngineSlowness} from './engine_slowness.js';
import {FailureShare} from './failure_share.js';
import {LastAnswer} from './last_answer.js';
import {NamedLimit} from './named_limit.js';
import type {Placement} from './placement.js';
import {PrefillBacklog} from './prefill_backlog.js';
import {PrefixCache} from './prefix_cache.js';
import type {PromptEstimates} from './prompt_estimates.js';
import {ownTokens} from './prompt_parts.js';
import {fits} from './software_versions.js';
import {RejectionGuard} from './rejection_guard.js';
import {SlotOvercommit} from './slot_overcommit.js';
import {StartPacer} from './start_pacer.js';
import type {
  BegunStream,
  ListedUpstream,
  NamedLimits,
  PlacementOutcome,
  Release,
  ServiceTraits,
  WorkItem,
} from './types.js';

const MS_PER_S = 1_000;
/** Outcomes that count against the upstream's health. */
const FAILURE_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  'failed',
  'broken',
  'unreachable',
  'silent',
]);
/** Checked at intervals only, as placements without a release are rare. */
const EXPIRY_CHECK_MS = 200;
/** Prefill of fewer tokens is as fast as fetching them. */
const MIN_FETCH_TOKENS = 300;

/** One upstream and the requests running on it. */
export class UpstreamState {
  readonly cache = new PrefixCache();
  readonly pacer = new StartPacer();
  readonly limit = new NamedLimit();
  readonly rejections = new RejectionGuard();
  /** Set until a probe succeeds. */
  isDown = false;
  /** It has said itself that it is about to stop. */
  isLeaving = false;
  /** When it was last marked as down. */
  downSinceMs = 0;
  /** An entry reported a stall; a probe decides whether it is down. */
  isSuspected = false;
  readonly lastAnswer = new LastAnswer();
  /** Cold, or not known to be warm, until this time. */
  coldUntilMs = 0;
  /** When its process was last found to have ended. */
  endedAtMs = Number.NEGATIVE_INFINITY;
  /** The list described it as it was at this time, or later. */
  listedAsOfMs = Number.NEGATIVE_INFINITY;
  /** Readings of the list from before this time cannot mark it warm. */
  minWarmReadAtMs = 0;
  private readonly placements = new Map<RequestId, Placement>();
  private readonly prefill = new PrefillBacklog();
  private usedTokens = 0;
  /** Expected output tokens, summed over the placements. */
  private outputTokens = 0;
  private nextExpiryCheckAtMs = 0;
  private readonly failures = new FailureShare();
  private readonly slowness = new EngineSlowness();
  private serviceMs = INITIAL_SERVICE_MS;
  /** Placements allowed beyond the slots of a plain upstream. */
  private readonly overcommit = new SlotOvercommit();

  constructor(
    public listed: ListedUpstream,
    public traits: ServiceTraits,
    private readonly estimates: PromptEstimates,
  ) {}

  get running(): number {
    return this.placements.size;
  }

  /** The requests that run on it, with the times at which they were sent. */
  get runningRequests(): readonly RunningRequest[] {
    return [...this.placements.values()].map(({item, startedAtMs}) => ({
      item,
      startedAtMs,
    }));
  }

  /** A request that runs on it. */
  requestOf(requestId: RequestId): WorkItem | undefined {
    return this.placements.get(requestId)?.item;
  }

  /**
   * `undefined` while its process may have been replaced since the list was
   * read: it may start again under the same id with another version.
   */
  get softwareVersion(): SoftwareVersion | undefined {
    const isCurrent = this.listedAsOfMs >= this.endedAtMs;
    return isCurrent ? this.listed.softwareVersion : undefined;
  }

  /** Whether it finishes what it has and gets nothing new. */
  get isDraining(): boolean {
    return this.isLeaving || this.listed.isDraining;
  }

  /** Whether a stream that began elsewhere may go on at it. */
  mayContinue(begun: BegunStream): boolean {
    return fits(begun, this.softwareVersion);
  }

  get freeSlots(): number {
    const {slots} = this.listed;
    const limit = this.isEngine ? slots : this.overcommit.placementLimit(slots);
    const allowed = this.rejections.placementLimit(slots, limit);
    return Math.max(0, allowed - this.placements.size);
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

  /** Share of recent requests that failed, 0 to 1; it decays with time. */
  recentFailureShare(nowMs: number): number {
    return this.failures.at(nowMs);
  }

  /** Counts a stalled request as a failure. */
  noteStall(nowMs: number): void {
    this.failures.note(true, nowMs);
  }

  /** Moving average of the time of a plain call. */
  get meanServiceMs(): number {
    return this.serviceMs;
  }

  /** Time until the prefill of all prompts sent to it is done. */
  backlogMs(nowMs: number): number {
    return this.prefill.remainingMs(nowMs);
  }

  isCold(nowMs: number): boolean {
    return this.traits.coldRequestsPerS > 0 && this.coldUntilMs > nowMs;
  }

  /** Requests a second that may start on it; undefined if not limited. */
  startsPerS(nowMs: number): number | undefined {
    const coldPerS = this.traits.coldRequestsPerS * COLD_RATE_SHARE;
    const rates = [
      ...(this.isCold(nowMs) ? [coldPerS] : []),
      ...(this.limit.startsPerS === undefined ? [] : [this.limit.startsPerS]),
    ];
    return rates.length === 0 ? undefined : Math.min(...rates);
  }

  /** Free slots of which requests could make use now. */
  openSlots(nowMs: number): number {
    if (this.limit.startsPerS === undefined) return this.freeSlots;
    const isReady = this.pacer.readyAtMs() <= nowMs;
    return isReady ? Math.min(1, this.freeSlots) : 0;
  }

  /** Whether it can accept the request now. */
  canTake(item: WorkItem, nowMs: number): boolean {
    if (!this.isOpen(nowMs)) return false;
    return !this.isEngine || ownTokens(item) <= this.freeTokens;
  }

  /** Whether it can accept any request now. */
  isOpen(nowMs: number): boolean {
    if (this.isDown || this.isDraining || this.freeSlots === 0) {
      return false;
    }
    if (this.rejections.isClosed(nowMs)) return false;
    const isPaced = this.startsPerS(nowMs) !== undefined;
    if (isPaced && this.pacer.readyAtMs() > nowMs) return false;
    return !this.isEngine || this.backlogMs(nowMs) <= MAX_PREFILL_BACKLOG_MS;
  }

  /** Ratio of its answer times to those of an engine of nominal speed. */
  get slownessFactor(): number {
    return this.slowness.factor;
  }

  /** Prefill time of the uncached part of a prompt, including any fetch. */
  prefillMs(item: WorkItem, nowMs: number): number {
    const {prompt} = item;
    if (prompt === undefined) return 0;
    const cached = this.estimates.cachedTokens(prompt, this, nowMs);
    const held = this.estimates.holder(prompt, nowMs)?.tokens ?? 0;
    const fetched = this.traits.fetchMsPerToken > 0 ? held - cached : 0;
    const known = cached + Math.max(0, fetched);
    const missing = Math.max(0, prompt.promptTokens - known);
    return (
      (missing / PREFILL_TOKENS_PER_MS) * this.slowness.factor +
      Math.max(0, fetched) * this.traits.fetchMsPerToken
    );
  }

  /** Expected time to the first answer if the request starts now. */
  expectedMs(item: WorkItem, nowMs: number): number {
    if (!this.isEngine) return this.serviceMs;
    return (
      BASE_FIRST_ANSWER_MS * this.slowness.factor +
      this.backlogMs(nowMs) +
      this.prefillMs(item, nowMs)
    );
  }

  /** The engine from which to fetch the prompt's prefix, if worthwhile. */
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

  /** Records a request that is sent to it now. */
  start(item: WorkItem, nowMs: number): void {
    const expectedMs = this.expectedMs(item, nowMs);
    this.prefill.add(item.requestId, this.prefillMs(item, nowMs), nowMs);
    const startsPerS = this.startsPerS(nowMs);
    if (startsPerS !== undefined) this.pacer.noteStart(startsPerS, nowMs);
    this.addPlacement(item, expectedMs, nowMs);
  }

  /** Records a running request that another scheduler granted. */
  adopt(item: WorkItem, nowMs: number): void {
    this.addPlacement(item, this.expectedMs(item, nowMs), nowMs);
  }

  /** Ends a placement; unknown placements are ignored. */
  end(release: Release, nowMs: number): void {
    const placement = this.placements.get(release.requestId);
    if (placement === undefined) return;
    this.removePlacement(placement);
    if (release.outcome === 'cancelled') return;
    if (release.outcome === 'rejected') {
      this.overcommit.reset();
      this.rejections.noteRejection(nowMs);
    }
    this.failures.note(FAILURE_OUTCOMES.has(release.outcome), nowMs);
    if (release.outcome !== 'answered') return;
    this.lastAnswer.note(placement.item.entry, nowMs);
    this.overcommit.note(nowMs - placement.startedAtMs, release.totalMs);
    this.updateEstimates(placement, release);
  }

  /** Records that a request was not begun by the expected time. */
  noteOverdue(requestId: RequestId): void {
    if (this.placements.has(requestId)) this.prefill.noteOverdue(requestId);
  }

  /** Records that a request which was overdue has begun. */
  noteBegun(requestId: RequestId, nowMs: number): void {
    const placement = this.placements.get(requestId);
    if (placement === undefined) return;
    this.prefill.noteBegun(requestId, nowMs);
    this.noteFirstAnswer(placement, nowMs - placement.startedAtMs);
  }

  /** Records what the response to a request says of the upstream's limits. */
  noteLimits(requestId: RequestId, limits: NamedLimits): void {
    const placement = this.placements.get(requestId);
    if (placement === undefined) return;
    const {startedAtMs} = placement;
    this.limit.note(limits, startedAtMs);
    this.rejections.note(limits, startedAtMs);
  }

  /** Removes placements whose release never arrived. */
  expire(nowMs: number): void {
    if (nowMs < this.nextExpiryCheckAtMs) return;
    this.nextExpiryCheckAtMs = nowMs + EXPIRY_CHECK_MS;
    [...this.placements.values()]
      .filter(each => each.expiresAtMs <= nowMs)
      .forEach(each => this.removePlacement(each));
  }

  entries(): readonly InstanceId[] {
    return [...new Set([...this.placements.values()].map(e => e.item.entry))];
  }

  /** Removes the placements of an entry. */
  removeEntry(entry: WorkItem['entry']): void {
    [...this.placements.values()]
      .filter(each => each.item.entry === entry)
      .forEach(each => this.removePlacement(each));
  }

  /** Clears its state after a restart: nothing is cached or running. */
  reset(): void {
    this.isLeaving = false;
    this.placements.clear();
    this.cache.clear();
    this.usedTokens = 0;
    this.outputTokens = 0;
    this.prefill.clear();
    this.failures.clear();
    this.overcommit.reset();
    this.limit.clear();
    this.rejections.clear();
  }

  /** Rate at which slots become free when all are occupied. */
  get slotsFreedPerMs(): number {
    const meanMs = this.isEngine ? this.meanStreamMs() : this.serviceMs;
    const freedPerMs = this.listed.slots / Math.max(1, meanMs);
    const {startsPerS} = this.limit;
    return startsPerS === undefined
      ? freedPerMs
      : Math.min(freedPerMs, startsPerS / MS_PER_S);
  }

  private addPlacement(
    item: WorkItem,
    expectedMs: number,
    nowMs: number,
  ): void {
    const tokens = ownTokens(item);
    const replaced = this.placements.get(item.requestId);
    if (replaced !== undefined) this.removePlacement(replaced);
    this.placements.set(item.requestId, {
      item,
      startedAtMs: nowMs,
      ownTokens: tokens,
      expectedMs,
      hasBegun: false,
      expiresAtMs: nowMs + item.remainingMs + PLACEMENT_GRACE_MS,
    });
    this.usedTokens += tokens;
    if (item.prompt === undefined) return;
    this.outputTokens += item.prompt.expectedOutputTokens;
    this.cache.touch(item.prompt.parts);
    this.cache.shrinkTo(Math.max(0, this.capacityTokens - this.usedTokens));
  }

  private meanStreamMs(): number {
    const mean = this.outputTokens / Math.max(1, this.placements.size);
    return Math.max(1, mean) * DECODE_MS_PER_TOKEN * this.slowness.factor;
  }

  private updateEstimates(placement: Placement, release: Release): void {
    if (!this.isEngine) {
      this.serviceMs += AVERAGE_WEIGHT * (release.totalMs - this.serviceMs);
      return;
    }
    this.noteFirstAnswer(placement, release.firstAnswerMs);
  }

  private noteFirstAnswer(placement: Placement, firstAnswerMs: number): void {
    const {expectedMs, hasBegun} = placement;
    if (hasBegun || firstAnswerMs <= 0) return;
    placement.hasBegun = true;
    this.slowness.note(firstAnswerMs, expectedMs);
  }

  private removePlacement(placement: Placement): void {
    this.placements.delete(placement.item.requestId);
    this.prefill.remove(placement.item.requestId);
    this.usedTokens -= placement.ownTokens;
    this.outputTokens -= placement.item.prompt?.expectedOutputTokens ?? 0;
  }
}
