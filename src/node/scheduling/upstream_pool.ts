/** The upstreams of one service in one region, kept current by the list. */
import type {DomainId, UpstreamId} from '../types/ids.js';
import {tokensOf} from './forecast.js';
import {PromptEstimates} from './prompt_estimates.js';
import type {
  ListedUpstream,
  PlacementOutcome,
  Release,
  ServiceTraits,
  WorkItem,
} from './types.js';
import {UpstreamState} from './upstream_state.js';

/** One reading of the platform's list. */
export interface ListReading {
  readonly upstreams: readonly ListedUpstream[];
  /** When the reading was asked for. */
  readonly readAtMs: number;
  /** How old the list may be when it is read. */
  readonly lagMs: number;
}

/** A change of belief about one upstream, for the log. */
export interface PoolChange {
  readonly kind:
    'listed' | 'unlisted' | 'reborn' | 'draining' | 'suspected' | 'down' | 'up';
  readonly upstreamId: UpstreamId;
  readonly cause: string;
  readonly coldRemainingMs: number;
}

/** Outcomes after which an upstream may have restarted, cold or not at all. */
const DOWN_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  'broken',
  'unreachable',
  'silent',
]);
/**
 * The bound on requests to a cold upstream holds for any second, so also for
 * one that begins just before it is warm.
 */
const COLD_MARGIN_MS = 1_050;
const RECENT_ANSWER_MS = 700;
/** An upstream that fails more of its requests is left out. */
const MAX_FAILURE_SHARE = 0.5;
/** How long an upstream that came back may turn out to be cold. */
const ASSUMED_COLD_MS = 3_000;

/** Holds the state of each upstream. */
export class UpstreamPool {
  private readonly states = new Map<UpstreamId, UpstreamState>();
  private evacuated: readonly DomainId[] = [];
  readonly estimates = new PromptEstimates(() => this.available());

  constructor(
    private traits: ServiceTraits,
    private readonly onChange: (change: PoolChange) => void,
  ) {}

  /**
   * Upstreams that may get work. Those that fail most of their requests are
   * left out for a time, unless that is true of most of them.
   */
  usable(nowMs: number): readonly UpstreamState[] {
    const available = this.available();
    const healthy = available.filter(
      each => each.recentFailureShare(nowMs) <= MAX_FAILURE_SHARE,
    );
    return healthy.length * 2 >= available.length ? healthy : available;
  }

  all(): readonly UpstreamState[] {
    return [...this.states.values()];
  }

  get(upstreamId: UpstreamId): UpstreamState | undefined {
    return this.states.get(upstreamId);
  }

  /** Whether no upstream could ever hold the request. */
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

  /** Upstreams of a domain that is taken back may have become cold. */
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
        this.reportChange('unlisted', each, 'list');
      });
    reading.upstreams.forEach(listed => this.applyListed(listed, reading));
  }

  /** Ends a placement and draws conclusions about the upstream. */
  end(release: Release, nowMs: number): void {
    const state = this.states.get(release.upstreamId);
    if (state === undefined) return;
    state.end(release, nowMs);
    if (DOWN_OUTCOMES.has(release.outcome) && !state.isDown) {
      state.isDown = true;
      this.reportChange('down', state, release.outcome);
    }
  }

  /** An entry waits for an upstream in vain; a probe tells whether it runs. */
  suspect(upstreamId: UpstreamId, nowMs: number): void {
    const state = this.states.get(upstreamId);
    if (state === undefined || state.isDown) return;
    // Its health check may be good although it answers nothing.
    state.noteStall(nowMs);
    if (state.isSuspected) return;
    state.isSuspected = true;
    this.reportChange('suspected', state, 'stalled');
  }

  /** Upstreams that must answer a probe. */
  toProbe(): readonly UpstreamState[] {
    return this.all().filter(
      each => (each.isDown || each.isSuspected) && !each.listed.isDraining,
    );
  }

  /**
   * No answer to a probe: a suspected upstream is down, unless it answered
   * requests lately. A probe waits for a slot like any request.
   */
  noteProbeFailure(upstreamId: UpstreamId, nowMs: number): void {
    const state = this.states.get(upstreamId);
    if (state === undefined || state.isDown) return;
    state.isSuspected = false;
    if (nowMs - state.answeredAtMs < RECENT_ANSWER_MS) return;
    state.isDown = true;
    this.reportChange('down', state, 'probe');
  }

  /** A probe succeeded; `coldRemainingMs` as the upstream itself says. */
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
    if (!state.isDown) return;
    state.isDown = false;
    this.reportChange('up', state, 'probe');
  }

  /** Upstreams that neither the list nor the operator keeps from work. */
  private available(): readonly UpstreamState[] {
    return this.all().filter(
      each =>
        !each.isDown &&
        !each.listed.isDraining &&
        !this.evacuated.includes(each.listed.domain),
    );
  }

  private applyListed(listed: ListedUpstream, reading: ListReading): void {
    const known = this.states.get(listed.upstreamId);
    if (known === undefined) {
      const created = new UpstreamState(listed, this.traits, this.estimates);
      this.states.set(listed.upstreamId, created);
      applyCold(created, listed, reading);
      this.reportChange('listed', created, 'list');
      return;
    }
    const before = known.listed;
    known.listed = listed;
    if (listed.bornAtMs > before.bornAtMs) {
      known.reset();
      this.reportChange('reborn', known, 'list');
    }
    if (listed.isDraining && !before.isDraining) {
      this.reportChange('draining', known, 'list');
    }
    applyCold(known, listed, reading);
  }

  private reportChange(
    kind: PoolChange['kind'],
    state: UpstreamState,
    cause: string,
  ): void {
    const {upstreamId, coldRemainingMs} = state.listed;
    this.onChange({kind, upstreamId, cause, coldRemainingMs});
  }
}

function cappedColdUntil(state: UpstreamState, reading: ListReading): number {
  return Math.min(state.coldUntilMs, reading.readAtMs + COLD_MARGIN_MS);
}

function coldUntil(atMs: number, coldRemainingMs: number): number {
  return coldRemainingMs > 0 ? atMs + coldRemainingMs + COLD_MARGIN_MS : atMs;
}

function assumeCold(state: UpstreamState, nowMs: number): void {
  state.coldUntilMs = Math.max(state.coldUntilMs, nowMs + ASSUMED_COLD_MS);
  state.minWarmReadAtMs = nowMs;
}

// A reading that may be older than the doubt does not lift it.
function applyCold(
  state: UpstreamState,
  listed: ListedUpstream,
  reading: ListReading,
): void {
  const untilMs = coldUntil(reading.readAtMs, listed.coldRemainingMs);
  const isCurrent = reading.readAtMs - reading.lagMs >= state.minWarmReadAtMs;
  // A reading that no longer calls it cold does not cut the margin short.
  if (isCurrent && listed.coldRemainingMs > 0) state.coldUntilMs = untilMs;
  else if (isCurrent) state.coldUntilMs = cappedColdUntil(state, reading);
  else state.coldUntilMs = Math.max(state.coldUntilMs, untilMs);
}
