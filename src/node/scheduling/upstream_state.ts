/** The scheduler's view of one upstream. */
import type {InstanceId, RequestId, SoftwareVersion} from '../types/ids.js';
import {
  COLD_RATE_SHARE,
  MAX_PREFILL_BACKLOG_MS,
  PLACEMENT_GRACE_MS,
  PREFILL_TOKENS_PER_MS,
  USABLE_CACHE_SHARE,
} from './constants.js';
import type {RunningRequest} from './crash_watch.js';
import {FailureShare} from './failure_share.js';
import {LastAnswer} from './last_answer.js';
import {NamedLimit} from './named_limit.js';
import type {Placement} from './placement.js';
import {PlacementBook} from './placement_book.js';
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
  Release,
  ServiceTraits,
  WorkItem,
} from './types.js';
import {UpstreamSpeed} from './upstream_speed.js';

const MS_PER_S = 1_000;
/** Checked at intervals, as placements without a release are rare. */
const EXPIRY_CHECK_MS = 200;
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
  private readonly placements = new PlacementBook();
  private readonly prefill = new PrefillBacklog();
  private nextExpiryCheckAtMs = 0;
  private readonly failures = new FailureShare();
  private readonly speed = new UpstreamSpeed();
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
    return this.placements.all();
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
    return Math.max(0, this.capacityTokens - this.placements.usedTokens);
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
    return this.speed.callMs;
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
    return (
      !this.isEngine || this.placements.neededTokens(item) <= this.freeTokens
    );
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
    return this.speed.slowness;
  }

  /** Prefill time of the uncached part of a prompt, including any fetch. */
  prefillMs(item: WorkItem, nowMs: number): number {
    if (item.prompt === undefined) return 0;
    const {missingTokens, fetchedTokens} = this.estimates.readingOf(
      item.prompt,
      this,
      nowMs,
    );
    return (
      (missingTokens / PREFILL_TOKENS_PER_MS) * this.speed.slowness +
      fetchedTokens * this.traits.fetchMsPerToken
    );
  }

  /** Expected time to the first answer if the request starts now. */
  expectedMs(item: WorkItem, nowMs: number): number {
    if (!this.isEngine) return this.speed.callMs;
    return (
      this.speed.baseMs + this.backlogMs(nowMs) + this.prefillMs(item, nowMs)
    );
  }

  /** The engine from which to fetch the prompt's prefix, if worthwhile. */
  fetchSource({prompt}: WorkItem, nowMs: number): UpstreamState | undefined {
    return prompt === undefined
      ? undefined
      : this.estimates.fetchSource(prompt, this, nowMs);
  }

  /** Records a request that is sent to it now. */
  start(item: WorkItem, nowMs: number): void {
    const prefillMs = this.prefillMs(item, nowMs);
    const backlogMs = this.backlogMs(nowMs);
    this.prefill.add(item.requestId, prefillMs, nowMs);
    const startsPerS = this.startsPerS(nowMs);
    if (startsPerS !== undefined) this.pacer.noteStart(startsPerS, nowMs);
    this.addPlacement(item, backlogMs + prefillMs, nowMs);
  }

  /** Records a running request that another scheduler granted. */
  adopt(item: WorkItem, nowMs: number): void {
    this.addPlacement(item, undefined, nowMs);
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
    this.failures.noteOutcome(release.outcome, nowMs);
    if (release.outcome !== 'answered') return;
    this.lastAnswer.note(placement.item.entry, nowMs);
    this.overcommit.note(nowMs - placement.startedAtMs, release.totalMs);
    this.updateSpeed(placement, release);
  }

  /** Records that a request was not begun by the expected time. */
  noteOverdue(requestId: RequestId): void {
    if (this.placements.get(requestId) === undefined) return;
    this.prefill.noteOverdue(requestId);
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
    this.placements.expired(nowMs).forEach(each => this.removePlacement(each));
  }

  entries(): readonly InstanceId[] {
    return this.placements.entries();
  }

  /** Removes the placements of an entry. */
  removeEntry(entry: WorkItem['entry']): void {
    this.placements.ofEntry(entry).forEach(each => this.removePlacement(each));
  }

  /** Clears its state after a restart: nothing is cached or running. */
  reset(): void {
    this.isLeaving = false;
    this.placements.clear();
    this.cache.clear();
    this.prefill.clear();
    this.failures.clear();
    this.overcommit.reset();
    this.limit.clear();
    this.rejections.clear();
  }

  /** Rate at which slots become free when all are occupied. */
  get slotsFreedPerMs(): number {
    const meanMs = this.isEngine ? this.meanStreamMs() : this.speed.callMs;
    const freedPerMs = this.listed.slots / Math.max(1, meanMs);
    const {startsPerS} = this.limit;
    return startsPerS === undefined
      ? freedPerMs
      : Math.min(freedPerMs, startsPerS / MS_PER_S);
  }

  /** `prefillMs` is `undefined` if another scheduler granted the request. */
  private addPlacement(
    item: WorkItem,
    prefillMs: number | undefined,
    nowMs: number,
  ): void {
    const replaced = this.placements.get(item.requestId);
    if (replaced !== undefined) this.removePlacement(replaced);
    this.placements.add({
      item,
      startedAtMs: nowMs,
      ownTokens: ownTokens(item),
      prefillMs: prefillMs ?? 0,
      slowness: this.speed.slowness,
      isAdopted: prefillMs === undefined,
      hasBegun: false,
      expiresAtMs: nowMs + item.remainingMs + PLACEMENT_GRACE_MS,
    });
    if (item.prompt === undefined) return;
    this.cache.touch(item.prompt.parts);
    this.cache.shrinkTo(this.capacityTokens - this.placements.usedOwnTokens);
  }

  private meanStreamMs(): number {
    const tokens = Math.max(1, this.placements.meanOutputTokens);
    return tokens * this.speed.fullBatchTokenMs;
  }

  private updateSpeed(placement: Placement, release: Release): void {
    const {firstAnswerMs, totalMs} = release;
    if (!this.isEngine) {
      this.speed.noteCall(totalMs);
      return;
    }
    this.noteFirstAnswer(placement, firstAnswerMs);
  }

  // What runs before an adopted request is not known.
  private noteFirstAnswer(placement: Placement, firstAnswerMs: number): void {
    const {prefillMs, slowness, hasBegun, isAdopted} = placement;
    if (hasBegun || isAdopted || firstAnswerMs <= 0) return;
    placement.hasBegun = true;
    this.speed.noteFirstAnswer({firstAnswerMs, prefillMs, slowness});
  }

  private removePlacement(placement: Placement): void {
    this.placements.remove(placement);
    this.prefill.remove(placement.item.requestId);
  }
}
