/**
 * Isolates long prompts from streams. An engine runs prefill in chunks between
 * the tokens of its streams, so a run of long prompts lengthens the token gaps
 * of every stream on the same engine. The lane is a set of engines, sized by
 * demand, that takes all long prompts; short prompts prefer the other engines.
 */
import type {UpstreamId} from '../types/ids.js';
import type {PromptEstimates} from './prompt_estimates.js';
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Prefill time of two chunks; a prompt that takes longer is long. */
const LONG_PREFILL_MS = 55;
/** Target share of time for which the engines of the lane are busy. */
const LANE_OCCUPANCY = 0.7;
/** Time constant of the moving average of the demand. */
const DEMAND_WINDOW_MS = 2_000;
/** The lane shrinks after a smaller size has been enough for this long. */
const SHRINK_AFTER_MS = 4_000;
/** An engine is replaced by one whose slowness is lower by more than this. */
const SLOWNESS_MARGIN = 0.2;
/** Limits swaps: speed estimates are noisy and new members have cold caches. */
const SWAP_INTERVAL_MS = 10_000;
/** Target slot occupancy of the engines outside the lane. */
const STREAM_OCCUPANCY = 0.75;

/** The long-prompt lane of one service. */
export class LongPromptLane {
  private members: ReadonlySet<UpstreamId> = new Set();

  /** Moving average of the prefill demand, in engines. */
  private demand = 0;
  private demandAtMs = 0;
  private sizeNeededAtMs = 0;
  private swappedAtMs = 0;

  /** `onChange` gets the new members and the demand in engines. */
  constructor(
    private readonly estimates: PromptEstimates,
    private readonly onChange: (
      members: readonly UpstreamId[],
      demand: number,
    ) => void,
  ) {}

  /** Adds a new request to the demand and resizes the lane. */
  noteArrival(
    item: WorkItem,
    usable: readonly UpstreamState[],
    nowMs: number,
  ): void {
    const prefillMs = this.longPrefillMs(item, nowMs);
    const elapsedMs = Math.max(0, nowMs - this.demandAtMs);
    const decay = Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
    this.demand = this.demand * decay + prefillMs / DEMAND_WINDOW_MS;
    this.demandAtMs = nowMs;
    this.resize(usable.filter(isLaneCandidate), nowMs);
  }

  /** Whether the request belongs in the lane. */
  isLong(item: WorkItem, nowMs: number): boolean {
    return this.longPrefillMs(item, nowMs) > 0;
  }

  /** Like `isLong`, for a prefill time that was estimated earlier. */
  isLongPrefill(prefillMs: number): boolean {
    return prefillMs > LONG_PREFILL_MS;
  }

  /** Whether no engine of the lane is open, so that long prompts must wait. */
  isFull(
    open: readonly UpstreamState[],
    usable: readonly UpstreamState[],
  ): boolean {
    return (
      !open.some(each => this.has(each)) && usable.some(each => this.has(each))
    );
  }

  has(upstream: UpstreamState): boolean {
    return this.members.has(upstream.listed.upstreamId);
  }

  /**
   * Returns the members of `upstreams` that may get the request. While the lane
   * has no usable engine, all of them may.
   */
  eligible(
    item: WorkItem,
    upstreams: readonly UpstreamState[],
    usable: readonly UpstreamState[],
    nowMs: number,
  ): readonly UpstreamState[] {
    const isUnrestricted =
      !this.isLong(item, nowMs) || !usable.some(each => this.has(each));
    return isUnrestricted
      ? upstreams
      : upstreams.filter(each => this.has(each));
  }

  private longPrefillMs(item: WorkItem, nowMs: number): number {
    const prefillMs = this.estimates.minPrefillMs(item, nowMs);
    return this.isLongPrefill(prefillMs) ? prefillMs : 0;
  }

  private resize(usable: readonly UpstreamState[], nowMs: number): void {
    const size = this.sizeFor(usable);
    const current = usable
      .map(each => each.listed.upstreamId)
      .filter(each => this.members.has(each));
    if (size >= current.length) this.sizeNeededAtMs = nowMs;
    const isTooLarge =
      size < current.length && nowMs - this.sizeNeededAtMs > SHRINK_AFTER_MS;
    const target = isTooLarge ? size : Math.max(size, current.length);
    const isSame =
      current.length === this.members.size && current.length === target;
    const maySwap =
      nowMs - this.swappedAtMs > SWAP_INTERVAL_MS && this.hasSlowMember(usable);
    if (isSame && !maySwap) return;
    this.swappedAtMs = nowMs;
    const members = fastest(usable, current, target);
    const isUnchanged =
      members.length === this.members.size &&
      members.every(each => this.members.has(each));
    if (isUnchanged) return;
    this.members = new Set(members);
    this.onChange(members, this.demand);
  }

  private sizeFor(usable: readonly UpstreamState[]): number {
    if (usable.length < 2) return 0;
    const needed = Math.ceil(this.demand / LANE_OCCUPANCY);
    const slots = usable[0]?.listed.slots ?? 1;
    const streams = usable
      .filter(each => !this.has(each))
      .reduce((sum, each) => sum + each.running, 0);
    const forStreams = Math.ceil(streams / (slots * STREAM_OCCUPANCY));
    const maxSize = usable.length - Math.max(1, forStreams);
    return Math.max(1, Math.min(needed, maxSize));
  }

  private hasSlowMember(usable: readonly UpstreamState[]): boolean {
    const inLane = usable.filter(each => this.has(each));
    const others = usable.filter(each => !this.has(each));
    const slowest = Math.max(...inLane.map(each => each.slownessFactor));
    const fastestOther = Math.min(...others.map(each => each.slownessFactor));
    return slowest > fastestOther + SLOWNESS_MARGIN;
  }
}

// Only engines read prompts, and long ones would queue up behind an engine that
// takes few requests.
function isLaneCandidate({isEngine, limit}: UpstreamState): boolean {
  return isEngine && limit.maxRequestsPerS === undefined;
}

// Current members are preferred unless another engine is clearly faster.
function fastest(
  usable: readonly UpstreamState[],
  members: readonly UpstreamId[],
  count: number,
): readonly UpstreamId[] {
  const cost = (upstream: UpstreamState): number =>
    upstream.slownessFactor -
    (members.includes(upstream.listed.upstreamId) ? SLOWNESS_MARGIN : 0);
  return [...usable]
    .sort((left, right) => cost(left) - cost(right))
    .slice(0, count)
    .map(upstream => upstream.listed.upstreamId)
    .sort();
}
