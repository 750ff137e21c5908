/** Tracks the upstreams of one service from the list, releases and probes. */
import type {
  DomainId,
  InstanceId,
  RequestId,
  UpstreamId,
} from '../types/ids.js';
import {fittingOf} from './choose_upstream.js';
import {applyCold, assumeCold, coldUntil} from './cold_time.js';
import {CrashWatch, type UpstreamCrash} from './crash_watch.js';
import {tokensOf} from './forecast.js';
import {PendingHandover} from './pending_handover.js';
import {PoolChanges, type PoolChange} from './pool_changes.js';
import {PromptEstimates} from './prompt_estimates.js';
import {withoutFailing} from './failure_share.js';
import {fits} from './software_versions.js';
import type {
  BegunStream,
  ListedUpstream,
  ListReading,
  NamedLimits,
  PlacementOutcome,
  Release,
  RunningPlacement,
  ServiceTraits,
  UpstreamLimit,
  WorkItem,
} from './types.js';
import {UpstreamState} from './upstream_state.js';

/** Outcomes after which an upstream is down or may have restarted cold. */
const DOWN_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  'broken',
  'unreachable',
]);
const RECENT_ANSWER_MS = 700;
/** Covers two more probes after the one that marked the upstream as down. */
const CONFIRMED_DOWN_MS = 1_000;

export interface UpstreamPoolOptions {
  readonly traits: ServiceTraits;
  readonly onPoolChange: (change: PoolChange) => void;
  /** Called when the process of an upstream that ran requests has ended. */
  readonly onCrash: (crash: UpstreamCrash) => void;
}

/** The upstreams of one service, by id. */
export class UpstreamPool {
  private readonly states = new Map<UpstreamId, UpstreamState>();
  private evacuated: readonly DomainId[] = [];
  readonly estimates = new PromptEstimates(() => this.available());

  private traits: ServiceTraits;
  private readonly crashes: CrashWatch;
  private readonly changes: PoolChanges;
  private readonly pending = new PendingHandover();

  constructor(options: UpstreamPoolOptions) {
    this.traits = options.traits;
    this.crashes = new CrashWatch(options.onCrash);
    this.changes = new PoolChanges(options.onPoolChange);
  }

  /**
   * Returns the upstreams that may get work. Those that fail most of their
   * requests are left out for a time, unless most upstreams do.
   */
  usable(nowMs: number): readonly UpstreamState[] {
    return withoutFailing(this.available(), nowMs);
  }

  /** Returns those of them that may run the request. */
  usableFor(item: WorkItem, nowMs: number): readonly UpstreamState[] {
    return withoutFailing(fittingOf(item, this.available()), nowMs);
  }

  /** Whether some could run it if its entry reached them. */
  isOnlyOutOfReach(item: WorkItem, nowMs: number): boolean {
    const {unreachable = [], ...reachable} = item;
    return (
      unreachable.length > 0 && this.usableFor(reachable, nowMs).length > 0
    );
  }

  /** Whether an upstream is listed, up or not, at which the stream may go on. */
  lists(begun: BegunStream): boolean {
    return this.all().some(
      each => fits(begun, each.listed.softwareVersion) && !each.isDraining,
    );
  }

  all(): readonly UpstreamState[] {
    return [...this.states.values()];
  }

  get(upstreamId: UpstreamId): UpstreamState | undefined {
    return this.states.get(upstreamId);
  }

  /** The request whose placement ends with the release. */
  requestOf({upstreamId, requestId}: Release): WorkItem | undefined {
    return this.states.get(upstreamId)?.requestOf(requestId);
  }

  /** Whether the request exceeds the token capacity of every upstream. */
  isTooLarge(item: WorkItem): boolean {
    const all = this.all();
    return (
      all.length > 0 &&
      all.every(each => each.isEngine && tokensOf(item) > each.capacityTokens)
    );
  }

  setTraits(traits: ServiceTraits): void {
    this.traits = traits;
    this.states.forEach(each => {
      each.traits = traits;
    });
  }

  /**
   * Sets the evacuated domains. Upstreams of a domain that is no longer
   * evacuated may have become cold meanwhile.
   */
  setEvacuated(domains: readonly DomainId[], nowMs: number): void {
    const restored = this.evacuated.filter(each => !domains.includes(each));
    this.all()
      .filter(each => restored.includes(each.listed.domain))
      .forEach(each => assumeCold(each, nowMs));
    this.evacuated = domains;
  }

  applyReading(reading: ListReading): void {
    const listedIds = new Set(reading.upstreams.map(each => each.upstreamId));
    this.all()
      .filter(each => !listedIds.has(each.listed.upstreamId))
      .forEach(each => {
        this.states.delete(each.listed.upstreamId);
        this.changes.report('unlisted', each, 'list');
        this.crashes.confirm(each.listed.upstreamId);
      });
    reading.upstreams.forEach(listed => this.applyListed(listed, reading));
  }

  /** Replaces the placements of an entry by those that it reports. */
  syncEntry(
    entry: InstanceId,
    placements: readonly RunningPlacement[],
    nowMs: number,
  ): void {
    this.states.forEach(each => each.removeEntry(entry));
    this.pending.removeEntries(each => each === entry);
    placements.forEach(placement => {
      const state = this.states.get(placement.upstreamId);
      if (state === undefined) this.pending.addPlacement(placement);
      else state.adopt(placement.item, nowMs);
    });
  }

  /** Removes the placements of unknown entries. */
  pruneEntries(isKnown: (entry: InstanceId) => boolean): void {
    this.states.forEach(upstream =>
      upstream
        .entries()
        .filter(entry => !isKnown(entry))
        .forEach(entry => upstream.removeEntry(entry)),
    );
    this.pending.removeEntries(entry => !isKnown(entry));
  }

  /** Ends a placement and marks the upstream down if the outcome says so. */
  end(release: Release, nowMs: number): void {
    const state = this.states.get(release.upstreamId);
    this.pending.end(release.requestId);
    if (state === undefined) return;
    const reporter = state.requestOf(release.requestId)?.entry;
    const isPathLost =
      release.outcome === 'unreachable' &&
      state.lastAnswer.isFromOther(reporter, nowMs - RECENT_ANSWER_MS);
    const isLoss =
      !state.isDown && !isPathLost && DOWN_OUTCOMES.has(release.outcome);
    if (isLoss) {
      this.crashes.noteLost(state, nowMs);
    }
    state.end(release, nowMs);
    if (isLoss) this.markDown(state, release.outcome, nowMs, reporter);
    if (state.isDown) return;
    if (release.outcome === 'silent') this.markStalled(state, nowMs, reporter);
    // It may have ended just after its last answer, and return cold.
    if (isPathLost) this.markSuspected(state, release.outcome, reporter);
  }

  /** Marks a stalled upstream as suspected until a probe is answered. */
  suspect(upstreamId: UpstreamId, nowMs: number, reporter?: InstanceId): void {
    const state = this.states.get(upstreamId);
    if (state === undefined || state.isDown) return;
    // Counted as a failure: its health check may pass although it is stalled.
    state.noteStall(nowMs);
    this.markStalled(state, nowMs, reporter);
  }

  /**
   * Whether an upstream is not listed, or has failed its probes for so long
   * that requests which run on it will not complete.
   */
  isLost(upstreamId: UpstreamId, nowMs: number): boolean {
    const state = this.states.get(upstreamId);
    if (state === undefined) return true;
    return state.isDown && nowMs - state.downSinceMs >= CONFIRMED_DOWN_MS;
  }

  /** Records that the upstream says that it is about to stop. */
  noteLeaving(upstreamId: UpstreamId): void {
    const state = this.states.get(upstreamId);
    if (state === undefined || state.isDraining) return;
    state.isLeaving = true;
    this.changes.report('draining', state, 'answer');
  }

  /** Records what the response to a request says of the upstream's limits. */
  noteLimits(
    upstreamId: UpstreamId,
    requestId: RequestId,
    limits: NamedLimits,
  ): void {
    const state = this.states.get(upstreamId);
    if (state === undefined) return;
    this.changes.reportLimits(state, () => state.noteLimits(requestId, limits));
  }

  /** Takes over a limit that an entry has been told. */
  adoptLimit(limit: UpstreamLimit): void {
    const state = this.states.get(limit.upstreamId);
    if (state === undefined) this.pending.addLimit(limit);
    else this.adopt(state, limit);
  }

  /** Upstreams that are down or suspected and must be probed. */
  toProbe(): readonly UpstreamState[] {
    return this.all().filter(
      each => (each.isDown || each.isSuspected) && !each.isDraining,
    );
  }

  /**
   * Marks an upstream that did not answer a probe as down, unless it answered
   * a request recently: a probe waits for a slot like any request, so a busy
   * upstream may miss it.
   */
  noteProbeFailure(
    upstreamId: UpstreamId,
    nowMs: number,
    isRefused = false,
  ): void {
    const state = this.states.get(upstreamId);
    if (state === undefined) return;
    if (!state.isDown) this.noteSuspectProbeFailure(state, nowMs, isRefused);
    const hasEnded = state.isDown && isRefused;
    if (hasEnded || this.isLost(upstreamId, nowMs)) {
      state.endedAtMs = nowMs;
      this.crashes.confirm(upstreamId);
    }
  }

  /** Records an answered probe; the upstream reports `coldRemainingMs`. */
  noteProbe(
    upstreamId: UpstreamId,
    coldRemainingMs: number,
    nowMs: number,
  ): void {
    const state = this.states.get(upstreamId);
    if (state === undefined) return;
    if (state.isDown || coldRemainingMs > 0) {
      state.coldUntilMs = coldUntil(nowMs, coldRemainingMs);
      state.minWarmReadAtMs = nowMs;
    }
    state.isSuspected = false;
    this.crashes.dismiss(upstreamId);
    if (!state.isDown) return;
    state.isDown = false;
    this.changes.report('up', state, 'probe');
  }

  private adopt(state: UpstreamState, {maxRequestsPerS}: UpstreamLimit): void {
    this.changes.reportLimits(state, () => state.limit.adopt(maxRequestsPerS));
  }

  /** Applies what entries handed over before the list showed the upstream. */
  private adoptPending(state: UpstreamState, nowMs: number): void {
    const {upstreamId} = state.listed;
    this.pending.placementsOf(upstreamId).forEach(each => {
      state.adopt(each.item, nowMs);
    });
    this.pending.limitsOf(upstreamId).forEach(each => this.adopt(state, each));
    this.pending.remove(upstreamId);
  }

  /** Upstreams that are neither down, draining nor in an evacuated domain. */
  private available(): readonly UpstreamState[] {
    return this.all().filter(
      each =>
        !each.isDown &&
        !each.isDraining &&
        !this.evacuated.includes(each.listed.domain),
    );
  }

  private applyListed(listed: ListedUpstream, reading: ListReading): void {
    const known = this.states.get(listed.upstreamId);
    if (known === undefined) {
      const created = new UpstreamState(listed, this.traits, this.estimates);
      created.listedAsOfMs = reading.readAtMs - reading.lagMs;
      this.states.set(listed.upstreamId, created);
      applyCold(created, listed, reading);
      this.changes.report('listed', created, 'list');
      this.adoptPending(created, reading.readAtMs);
      return;
    }
    const before = known.listed;
    known.listed = listed;
    known.listedAsOfMs = reading.readAtMs - reading.lagMs;
    if (listed.bornAtMs > before.bornAtMs) {
      known.reset();
      known.endedAtMs = Number.NEGATIVE_INFINITY;
      this.changes.report('reborn', known, 'list');
      this.crashes.confirm(listed.upstreamId);
    }
    const wasDraining = before.isDraining || known.isLeaving;
    if (listed.isDraining && !wasDraining) {
      this.changes.report('draining', known, 'list');
    }
    applyCold(known, listed, reading);
  }

  // A busy upstream may miss a probe, but it does not refuse one: that is probed
  // again until its last answer is old enough, or the probe succeeds.
  private noteSuspectProbeFailure(
    state: UpstreamState,
    nowMs: number,
    isRefused: boolean,
  ): void {
    const hasAnswered = nowMs - state.lastAnswer.atMs < RECENT_ANSWER_MS;
    state.isSuspected = hasAnswered && isRefused;
    if (hasAnswered) return;
    this.crashes.noteLost(state, nowMs);
    this.markDown(state, 'probe', nowMs);
  }

  private markDown(
    state: UpstreamState,
    cause: string,
    nowMs: number,
    reporter?: InstanceId,
  ): void {
    state.isDown = true;
    state.downSinceMs = nowMs;
    this.changes.report('down', state, cause, reporter);
  }

  // An upstream that has just answered another request needs no probe.
  private markStalled(
    state: UpstreamState,
    nowMs: number,
    reporter: InstanceId | undefined,
  ): void {
    const hasAnswered = nowMs - state.lastAnswer.atMs < RECENT_ANSWER_MS;
    if (!hasAnswered) this.markSuspected(state, 'stalled', reporter);
  }

  private markSuspected(
    state: UpstreamState,
    cause: string,
    reporter: InstanceId | undefined,
  ): void {
    if (state.isSuspected) return;
    state.isSuspected = true;
    this.changes.report('suspected', state, cause, reporter);
  }
}
