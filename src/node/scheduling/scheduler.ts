/**
 * Schedules the requests of one service in one failure domain: grants them an
 * upstream, queues them, sends them to another domain or region, or refuses
 * them. It performs no I/O; the caller passes the current time.
 */
import type {DomainId, InstanceId, RequestId} from '../types/ids.js';
import {CapacityBoard} from './capacity_board.js';
import {digestOf} from './capacity_digest.js';
import {
  chooseUpstream,
  fittingOf,
  hasFailedOn,
  untriedOf,
} from './choose_upstream.js';
import {grantOf} from './decisions.js';
import {EarlyMoves} from './early_moves.js';
import {HotParts} from './hot_parts.js';
import {LoadForecast} from './load_forecast.js';
import {RetryBudget} from './retry_budget.js';
import type {SchedulerOptions} from './scheduler_options.js';
import {canFinish, forecast, isInTime, maxFirstAnswerMs} from './forecast.js';
import {LongPromptLane} from './long_prompt_lane.js';
import {OverdueWaits} from './overdue_waits.js';
import {isInTurn} from './return_limits.js';
import {Redirects} from './redirects.js';
import {Refusals} from './refusals.js';
import {QuarantineGate} from './quarantine_gate.js';
import type {
  CapacityDigest,
  Decision,
  Release,
  ReplacedUpstream,
  EntryPlacements,
  WorkItem,
} from './types.js';
import {UpstreamPool} from './upstream_pool.js';
import type {UpstreamState} from './upstream_state.js';
import {WorkQueue, type QueuedItem, type QueueLoad} from './work_queue.js';

/** The scheduler of one service. `decide` returns its decisions. */
export class Scheduler {
  readonly pool: UpstreamPool;
  readonly board: CapacityBoard;
  readonly retryBudget: RetryBudget;
  private readonly redirects: Redirects;
  private readonly queue = new WorkQueue((item, nowMs) =>
    this.pool.estimates.minPrefillMs(item, nowMs),
  );
  private readonly lane: LongPromptLane;
  private readonly loadForecast = new LoadForecast();
  private readonly hotParts = new HotParts();
  private readonly moves: EarlyMoves;
  private readonly quarantine: QuarantineGate;
  private readonly refusals: Refusals;
  private readonly overdueWaits: OverdueWaits;
  private decisions: Decision[] = [];

  constructor(private readonly options: SchedulerOptions) {
    this.board = new CapacityBoard(options.region, item =>
      this.loadForecast.slotMsOf(item),
    );
    this.redirects = new Redirects(options.region, this.board, decision =>
      this.decisions.push(decision),
    );
    this.pool = new UpstreamPool(options);
    this.retryBudget = new RetryBudget(options.retries);
    this.quarantine = new QuarantineGate(options.evidence);
    this.lane = new LongPromptLane(this.pool.estimates, options.onLaneChange);
    this.moves = new EarlyMoves({
      pool: this.pool,
      queue: this.queue,
      loadForecast: this.loadForecast,
      redirects: this.redirects,
    });
    this.refusals = new Refusals({
      pool: this.pool,
      board: this.board,
      queue: this.queue,
      push: decision => this.decisions.push(decision),
    });
    const {pool, queue, redirects, refusals} = this;
    this.overdueWaits = new OverdueWaits({pool, queue, redirects, refusals});
  }

  get queueLength(): number {
    return this.queue.size;
  }

  /** Accepts a request; it is decided at once or from the queue. */
  submit(item: WorkItem, nowMs: number): void {
    if (this.queue.has(item.requestId)) return;
    if (this.refuseQuarantined(item, nowMs)) return;
    if (this.refuseOverBudget(item, nowMs)) return;
    if (this.pool.isTooLarge(item)) {
      this.refusals.add(item, 'too_large', 0, nowMs);
      return;
    }
    if (item.replaces !== undefined) this.replace(item, item.replaces, nowMs);
    else if (!this.admitReturn(item, nowMs)) this.admit(item, nowMs);
  }

  /** Ends placements. */
  release(releases: readonly Release[], nowMs: number): void {
    releases.forEach(release => {
      const item = this.pool.requestOf(release);
      this.quarantine.noteEnd(item, release.outcome, nowMs);
      this.pool.end(release, nowMs);
      if (item === undefined || release.outcome !== 'answered') return;
      this.loadForecast.noteEnd(item, release.totalMs);
    });
  }

  /** Removes a queued request whose caller has left. */
  cancel(requestId: RequestId): void {
    this.queue.remove(requestId);
  }

  /**
   * Replaces the placements of an entry by those that it reports as running,
   * whichever scheduler granted them, and takes over the limits that it knows.
   */
  syncRunning(
    entry: InstanceId,
    {placements, limits}: EntryPlacements,
    nowMs: number,
  ): void {
    this.pool.syncEntry(entry, placements, nowMs);
    limits.forEach(each => this.pool.adoptLimit(each));
  }

  /** Removes the queued requests and placements of unknown entries. */
  pruneEntries(isKnown: (entry: InstanceId) => boolean): void {
    this.queue.removeEntries(entry => !isKnown(entry));
    this.pool.pruneEntries(isKnown);
  }

  setEvacuated(domains: readonly DomainId[], nowMs: number): void {
    this.pool.setEvacuated(domains, nowMs);
  }

  /**
   * Processes the queue and returns all decisions since the last call. The cost
   * grows with the queue, so it is called at intervals, not for each message.
   */
  decide(nowMs: number): readonly Decision[] {
    this.pool.all().forEach(each => each.expire(nowMs));
    const usable = this.pool.usable(nowMs);
    let open = openOf(usable, nowMs);
    let isLaneFull = this.lane.isFull(open, usable);
    const loads = this.overdueWaits.isPredictionDue(nowMs)
      ? this.queue.loadsAhead()
      : undefined;
    this.queue.inOrder().forEach(queued => {
      // The lane may have no engine at which a begun stream can go on.
      const mustWait =
        isLaneFull &&
        queued.item.begun === undefined &&
        this.lane.isLongPrefill(queued.prefillMs);
      const upstream = mustWait
        ? undefined
        : this.choose(queued.item, usable, open, nowMs);
      const ahead = loads?.get(queued.item.requestId);
      if (!this.processQueued(queued, upstream, usable, nowMs, ahead)) {
        if (ahead !== undefined) {
          this.moves.moveQueued(queued, ahead, usable, nowMs);
        }
        return;
      }
      open = openOf(open, nowMs);
      isLaneFull = this.lane.isFull(open, usable);
    });
    return this.takeDecisions();
  }

  /** Returns the decisions since the last call without processing the queue. */
  takeDecisions(): readonly Decision[] {
    const decided = this.decisions;
    this.decisions = [];
    return decided;
  }

  /** Builds the capacity digest that is sent to other domains. */
  digest(service: WorkItem['service'], nowMs: number): CapacityDigest {
    const {pool, queue, loadForecast, hotParts} = this;
    const {region, domain} = this.options;
    return digestOf(
      {region, domain, service, pool, queue, loadForecast, hotParts},
      nowMs,
    );
  }

  // A request that runs elsewhere does not wait in the queue: its upstream may
  // answer meanwhile.
  private replace(
    item: WorkItem,
    {upstreamId, domain}: ReplacedUpstream,
    nowMs: number,
  ): void {
    const isOwn = domain === this.options.domain;
    const isOutOfReach = item.unreachable?.includes(upstreamId) === true;
    if (isOutOfReach || (isOwn && this.pool.isLost(upstreamId, nowMs))) {
      this.refusals.add(item, 'upstream_down', 0, nowMs);
      return;
    }
    const others = untriedOf(item, this.pool.usableFor(item, nowMs));
    const upstream = this.choose(item, others, openOf(others, nowMs), nowMs);
    if (upstream !== undefined && canFinish(item, upstream, nowMs)) {
      this.grant(item, upstream, 0, nowMs);
    } else if (!this.redirects.toSibling(item, nowMs)) {
      this.refusals.add(item, 'no_replacement', 0, nowMs);
    }
  }

  private admit(item: WorkItem, nowMs: number): void {
    if (!item.isAllowedHere) {
      if (this.redirects.toAllowedRegion(item, nowMs)) return;
      this.refusals.addWithoutRegion(item, nowMs);
      return;
    }
    this.lane.noteArrival(item, this.pool.usable(nowMs), nowMs);
    const usable = this.pool.usableFor(item, nowMs);
    if (hasFailedOn(item, usable) && this.redirects.toSibling(item, nowMs)) {
      return;
    }
    if (usable.length === 0) {
      const isOutOfReach = this.pool.isOnlyOutOfReach(item, nowMs);
      if (this.redirects.toAnywhere(item, isOutOfReach, nowMs)) return;
      // No upstream is known before the first reading of the list, so wait.
      if (this.pool.all().length === 0) this.queue.add(item, nowMs);
      else this.refusals.addWithoutUpstream(item, nowMs);
      return;
    }
    const eligible = this.lane.eligible(item, usable, usable, nowMs);
    const expected = forecast(
      item,
      this.queue.aheadOf(item, nowMs),
      eligible,
      nowMs,
    );
    if (this.moves.moveNew(item, expected, nowMs)) return;
    if (isInTime(item, expected)) {
      this.moves.noteKept(item, nowMs);
      this.grantOrEnqueue(item, usable, nowMs);
      return;
    }
    const expectedMs = expected.waitMs + expected.answerMs;
    if (this.redirects.toFaster(item, expectedMs, nowMs)) return;
    const latestMs = maxFirstAnswerMs(item, expected.answerMs);
    const closedForMs = item.ageMs + expectedMs - latestMs;
    this.refusals.addOverloaded(item, expected.waitMs, nowMs, closedForMs);
  }

  /**
   * Decides on the request of a caller that was refused before. If its turn has
   * come, it may be answered late, as the caller may not come again; otherwise
   * it gets only room that new requests do not need. Returns false if it is to
   * be treated as a new one.
   */
  private admitReturn(item: WorkItem, nowMs: number): boolean {
    const standing = this.refusals.standingOf(item, nowMs);
    if (standing === 'new' || !item.isAllowedHere) return false;
    const usable = this.pool.usableFor(item, nowMs);
    if (usable.length === 0) return false;
    const isDue = standing === 'due';
    if (isDue) this.refusals.redeem(item);
    const eligible = this.lane.eligible(item, usable, usable, nowMs);
    const ahead = this.queue.aheadOf(item, nowMs, isDue);
    const expected = forecast(item, ahead, eligible, nowMs);
    if (isInTurn(item, expected, isDue)) {
      if (!isDue) return false;
      this.lane.noteArrival(item, this.pool.usable(nowMs), nowMs);
      this.moves.noteKept(item, nowMs);
      this.grantOrEnqueue(item, usable, nowMs, isDue);
      return true;
    }
    const expectedMs = expected.waitMs + expected.answerMs;
    if (!this.redirects.toFaster(item, expectedMs, nowMs)) {
      this.refusals.addOverloaded(item, expected.waitMs, nowMs);
    }
    return true;
  }

  // A request with others ahead of it in the queue waits for its turn.
  private grantOrEnqueue(
    item: WorkItem,
    usable: readonly UpstreamState[],
    nowMs: number,
    isReturn = false,
  ): void {
    const lessUrgent = this.queue.floorTurn(item.priority);
    if (lessUrgent !== undefined) {
      const open = openOf(usable, nowMs);
      const chosen = this.choose(lessUrgent.item, usable, open, nowMs);
      this.processQueued(lessUrgent, chosen, usable, nowMs);
    }
    const upstream = this.queue.isFirst(item.priority)
      ? this.choose(item, usable, openOf(usable, nowMs), nowMs)
      : undefined;
    if (upstream === undefined) this.queue.add(item, nowMs, isReturn);
    else this.grant(item, upstream, 0, nowMs);
  }

  /**
   * Grants, ends or keeps a queued request; returns true if it was granted. The
   * load `ahead` of it is set if its wait is to be predicted.
   */
  private processQueued(
    queued: QueuedItem,
    upstream: UpstreamState | undefined,
    usable: readonly UpstreamState[],
    nowMs: number,
    ahead?: QueueLoad,
  ): boolean {
    const {item, queuedAtMs} = queued;
    const isRefused =
      this.refuseQuarantined(item, nowMs) || this.refuseOverBudget(item, nowMs);
    if (isRefused) {
      this.queue.remove(item.requestId);
      return false;
    }
    if (upstream !== undefined) {
      this.grant(item, upstream, nowMs - queuedAtMs, nowMs);
      return true;
    }
    this.overdueWaits.end(queued, fittingOf(item, usable), ahead, nowMs);
    return false;
  }

  /** Refuses a request that must not run now; returns true if it did. */
  private refuseQuarantined(item: WorkItem, nowMs: number): boolean {
    const forMs = this.quarantine.remainingMs(item, nowMs);
    if (forMs > 0) this.refusals.add(item, 'quarantined', forMs, nowMs);
    return forMs > 0;
  }

  /** Refuses a repeat beyond the retry budget; returns true if it did. */
  private refuseOverBudget(item: WorkItem, nowMs: number): boolean {
    if (!item.isRepeat || this.retryBudget.allowsRetry(nowMs)) return false;
    this.retryBudget.noteRefusal(nowMs);
    this.refusals.add(item, 'retry_budget', 0, nowMs);
    return true;
  }

  private choose(
    item: WorkItem,
    usable: readonly UpstreamState[],
    open: readonly UpstreamState[],
    nowMs: number,
  ): UpstreamState | undefined {
    // Under overload no upstream is open most of the time and the queue is
    // long, so this saves work.
    if (open.length === 0) return undefined;
    const eligible = this.lane.eligible(
      item,
      fittingOf(item, open),
      fittingOf(item, usable),
      nowMs,
    );
    return chooseUpstream(item, eligible, this.lane, nowMs);
  }

  private grant(
    item: WorkItem,
    upstream: UpstreamState,
    queuedMs: number,
    nowMs: number,
  ): void {
    this.queue.grant(item, nowMs);
    if (item.isRepeat) this.retryBudget.noteRetry(nowMs);
    else this.retryBudget.noteRequest(nowMs);
    const decision = grantOf(item, upstream, {
      domain: this.options.domain,
      queuedMs,
      nowMs,
    });
    if (item.prompt !== undefined) this.hotParts.note(item.prompt);
    upstream.start({...item, remainingMs: item.remainingMs - queuedMs}, nowMs);
    this.quarantine.noteStart(item, nowMs);
    this.decisions.push(decision);
  }
}

function openOf(
  upstreams: readonly UpstreamState[],
  nowMs: number,
): readonly UpstreamState[] {
  return upstreams.filter(each => each.isOpen(nowMs));
}
