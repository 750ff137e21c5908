/** The requests that run on one upstream and the memory they occupy there. */
import type {InstanceId, RequestId} from '../types/ids.js';
import type {Placement} from './placement.js';

/** The placements of one upstream, by request. */
export class PlacementBook {
  private readonly placements = new Map<RequestId, Placement>();
  private tokens = 0;
  private expectedOutput = 0;

  get size(): number {
    return this.placements.size;
  }

  /** Tokens that the placements need, beside shared parts of prompts. */
  get usedTokens(): number {
    return this.tokens;
  }

  /** Tokens that a placement is expected to write, on average. */
  get meanOutputTokens(): number {
    return this.expectedOutput / Math.max(1, this.size);
  }

  all(): readonly Placement[] {
    return [...this.placements.values()];
  }

  get(requestId: RequestId): Placement | undefined {
    return this.placements.get(requestId);
  }

  ofEntry(entry: InstanceId): readonly Placement[] {
    return this.all().filter(each => each.item.entry === entry);
  }

  expired(nowMs: number): readonly Placement[] {
    return this.all().filter(each => each.expiresAtMs <= nowMs);
  }

  entries(): readonly InstanceId[] {
    return [...new Set(this.all().map(each => each.item.entry))];
  }

  /** Adds a placement of a request that has none. */
  add(placement: Placement): void {
    this.placements.set(placement.item.requestId, placement);
    this.tokens += placement.ownTokens;
    this.expectedOutput += outputOf(placement);
  }

  remove(placement: Placement): void {
    if (!this.placements.delete(placement.item.requestId)) return;
    this.tokens -= placement.ownTokens;
    this.expectedOutput -= outputOf(placement);
  }

  clear(): void {
    this.placements.clear();
    this.tokens = 0;
    this.expectedOutput = 0;
  }
}

function outputOf({item}: Placement): number {
  return item.prompt?.expectedOutputTokens ?? 0;
}
