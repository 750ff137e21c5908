/**
 * Estimates the prefill work of a prompt on each engine of a service. An
 * estimate compares the prompt with the cache of every engine, so it is reused
 * for a short time: a queued request is examined many times a second.
 */
import {PREFILL_TOKENS_PER_MS} from './constants.js';
import type {PromptSize, WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Time for which an estimate is reused; caches change little in it. */
const TTL_MS = 40;

/** An engine and the number of tokens of a prompt that it has cached. */
export interface PrefixHolder {
  readonly upstream: UpstreamState;
  readonly tokens: number;
}

interface PromptEstimate {
  readonly atMs: number;
  /** Cached tokens of the prompt, by engine. */
  readonly cachedTokens: ReadonlyMap<UpstreamState, number>;
  /** The engine with the longest cached prefix, if any has one. */
  readonly holder: PrefixHolder | undefined;
  /** Prefill time on the best engine, at nominal speed. */
  minPrefillMs?: number;
}

/** Prompt estimates for the engines of one service. */
export class PromptEstimates {
  private readonly known = new WeakMap<PromptSize, PromptEstimate>();

  constructor(private readonly upstreams: () => readonly UpstreamState[]) {}

  /** The engine from which others would fetch the prompt's prefix. */
  holder(prompt: PromptSize, nowMs: number): PrefixHolder | undefined {
    return this.estimateOf(prompt, nowMs).holder;
  }

  /** Tokens of the prompt that an engine has cached. */
  cachedTokens(
    prompt: PromptSize,
    upstream: UpstreamState,
    nowMs: number,
  ): number {
    return (
      this.estimateOf(prompt, nowMs).cachedTokens.get(upstream) ??
      upstream.cache.cachedTokens(prompt.parts)
    );
  }

  /** Minimum prefill time among the engines; 0 without a prompt. */
  minPrefillMs(item: WorkItem, nowMs: number): number {
    const {prompt} = item;
    if (prompt === undefined) return 0;
    const estimate = this.estimateOf(prompt, nowMs);
    estimate.minPrefillMs ??= Math.min(
      ...[...estimate.cachedTokens.keys()].map(
        each => each.prefillMs(item, nowMs) / each.slownessFactor,
      ),
      prompt.promptTokens / PREFILL_TOKENS_PER_MS,
    );
    return estimate.minPrefillMs;
  }

  private estimateOf(prompt: PromptSize, nowMs: number): PromptEstimate {
    const known = this.known.get(prompt);
    if (known !== undefined && nowMs - known.atMs < TTL_MS) return known;
    const cachedTokens = new Map(
      this.upstreams().map(upstream => [
        upstream,
        upstream.cache.cachedTokens(prompt.parts),
      ]),
    );
    const estimate = {
      atMs: nowMs,
      cachedTokens,
      holder: largestHolder(cachedTokens),
    };
    this.known.set(prompt, estimate);
    return estimate;
  }
}

function largestHolder(
  cachedTokens: ReadonlyMap<UpstreamState, number>,
): PrefixHolder | undefined {
  return [...cachedTokens].reduce<PrefixHolder | undefined>(
    (best, [upstream, tokens]) =>
      tokens > (best?.tokens ?? 0) ? {upstream, tokens} : best,
    undefined,
  );
}
