/** Which engine of a region holds most of a prompt, so that others fetch it. */
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** An answer is used again for so long: the queue is looked at often. */
const REUSE_MS = 20;

/** An engine with what it holds of a prompt. */
export interface PrefixHolder {
  readonly upstream: UpstreamState;
  readonly tokens: number;
}

interface Remembered {
  readonly holder: PrefixHolder | undefined;
  readonly atMs: number;
}

/** Finds holders among the engines of one service. */
export class PrefixHolders {
  private readonly remembered = new WeakMap<WorkItem, Remembered>();

  constructor(private readonly upstreams: () => readonly UpstreamState[]) {}

  /** The engine that holds most; `undefined` if none holds anything. */
  find(item: WorkItem, nowMs: number): PrefixHolder | undefined {
    const known = this.remembered.get(item);
    if (known !== undefined && nowMs - known.atMs < REUSE_MS) {
      return known.holder;
    }
    const holder = this.search(item);
    this.remembered.set(item, {holder, atMs: nowMs});
    return holder;
  }

  private search({prompt}: WorkItem): PrefixHolder | undefined {
    if (prompt === undefined) return undefined;
    return this.upstreams()
      .map(upstream => ({
        upstream,
        tokens: upstream.cache.cachedTokens(prompt.parts),
      }))
      .reduce<PrefixHolder | undefined>(
        (best, each) => (each.tokens > (best?.tokens ?? 0) ? each : best),
        undefined,
      );
  }
}
