/** The requests that run on one upstream and the memory they occupy there. */
import type {InstanceId, RequestId} from '../types/ids.js';
import type {Placement} from './placement.js';
import {ownTokens} from './prompt_parts.js';
import type {PromptPart, WorkItem} from './types.js';

/** The placements of one upstream, by request. */
export class PlacementBook {
  private readonly placements = new Map<RequestId, Placement>();
  private tokens = 0;
  private expectedOutput = 0;
  /** Shared parts of prompts that placements use, which cannot yield. */
  private readonly shared = new Map<string, {tokens: number; users: number}>();
  private sharedTokens = 0;

  get size(): number {
    return this.placements.size;
  }

  /** Tokens that the placements need; a part that several use counts once. */
  get usedTokens(): number {
    return this.tokens + this.sharedTokens;
  }

  /** Tokens of them that no shared part accounts for. */
  get usedOwnTokens(): number {
    return this.tokens;
  }

  /** Tokens that one more request would need beside them. */
  neededTokens(item: WorkItem): number {
    const missing = sharedPartsOf(item).filter(
      ({partId}) => !this.shared.has(partId),
    );
    const sharedTokens = missing.reduce((sum, each) => sum + each.tokens, 0);
    return ownTokens(item) + sharedTokens;
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
    sharedPartsOf(placement.item).forEach(each => this.use(each));
  }

  remove(placement: Placement): void {
    if (!this.placements.delete(placement.item.requestId)) return;
    this.tokens -= placement.ownTokens;
    this.expectedOutput -= outputOf(placement);
    sharedPartsOf(placement.item).forEach(({partId}) => this.leave(partId));
  }

  clear(): void {
    this.placements.clear();
    this.tokens = 0;
    this.expectedOutput = 0;
    this.shared.clear();
    this.sharedTokens = 0;
  }

  private use({partId, tokens}: PromptPart): void {
    const known = this.shared.get(partId);
    if (known !== undefined) {
      known.users += 1;
      return;
    }
    this.shared.set(partId, {tokens, users: 1});
    this.sharedTokens += tokens;
  }

  private leave(partId: string): void {
    const known = this.shared.get(partId);
    if (known === undefined) return;
    known.users -= 1;
    if (known.users > 0) return;
    this.shared.delete(partId);
    this.sharedTokens -= known.tokens;
  }
}

function sharedPartsOf({prompt}: WorkItem): readonly PromptPart[] {
  return (prompt?.parts ?? []).slice(0, -1);
}

function outputOf({item}: Placement): number {
  return item.prompt?.expectedOutputTokens ?? 0;
}
