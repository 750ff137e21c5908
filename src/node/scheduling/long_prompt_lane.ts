/**
 * Keeps long prompts apart from streams: an engine reads prompts in chunks
 * between the tokens of its streams, so a run of long prompts stretches the
 * pauses of every stream beside them. As many engines as the long prompts
 * need take all of them; streams with short prompts prefer the others.
 */
import type {UpstreamId} from '../types/ids.js';
import type {PromptEstimates} from './prompt_estimates.js';
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** A prompt is long if an engine reads it for more than two chunks. */
const LONG_PREFILL_MS = 55;
/** Engines of the lane are sized to be busy for this share of the time. */
const LANE_OCCUPANCY = 0.7;
/** Demand is averaged over about this time. */
const DEMAND_WINDOW_MS = 2_000;
/** The lane shrinks only when the smaller size has been enough for so long. */
const SHRINK_AFTER_MS = 4_000;
/** An engine leaves the lane for one that is faster by more than this. */
const SLOWNESS_MARGIN = 0.2;
/** Estimates of speed are noisy, and a new member has a cold cache. */
const SWAP_INTERVAL_MS = 10_000;
/** Share of its slots that the streams beside the lane may fill. */
const STREAM_OCCUPANCY = 0.75;

/** The lane of one service. */
export class LongPromptLane {
  private members: ReadonlySet<UpstreamId> = new Set();

  /** `onChange` gets the new members and the demand in engines. */
  private demand = 0;
  private demandAtMs = 0;
  private sizeNeededAtMs = 0;
  private swappedAtMs = 0;

  constructor(
    private readonly estimates: PromptEstimates,
    private readonly onChange: (
      members: readonly UpstreamId[],
      demand: number,
    ) => void,
  ) {}

  /** Notes a new request, so that the lane grows with the demand. */
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
    this.resize(usable, nowMs);
  }

  /** Whether the request belongs into the lane. */
  isLong(item: WorkItem, nowMs: number): boolean {
    return this.longPrefillMs(item, nowMs) > 0;
  }

  /** The same for a reading time that was estimated earlier. */
  isLongPrefill(prefillMs: number): boolean {
    return prefillMs > LONG_PREFILL_MS;
  }

  /** Whether long prompts have to wait although other engines are open. */
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
   * Those of `upstreams` that may get the request. While no usable engine is in
   * the lane, all may.
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

// Members stay members unless another engine is clearly faster.
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
