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
/** Prefill of fewer tokens is as fast as fetching them. */
const MIN_FETCH_TOKENS = 300;

/** An engine and the number of tokens of a prompt that it has cached. */
export interface PrefixHolder {
  readonly upstream: UpstreamState;
  readonly tokens: number;
}

/** What an engine has to do before it can answer a prompt. */
export interface PromptReading {
  /** Tokens that it must prefill. */
  readonly missingTokens: number;
  /** Tokens that it gets from another engine. */
  readonly fetchedTokens: number;
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

  readingOf(
    prompt: PromptSize,
    upstream: UpstreamState,
    nowMs: number,
  ): PromptReading {
    const cached = this.cachedTokens(prompt, upstream, nowMs);
    const held = this.estimateOf(prompt, nowMs).holder?.tokens ?? 0;
    const canFetch = upstream.traits.fetchMsPerToken > 0;
    const fetchedTokens = canFetch ? Math.max(0, held - cached) : 0;
    const known = cached + fetchedTokens;
    return {
      fetchedTokens,
      missingTokens: Math.max(0, prompt.promptTokens - known),
    };
  }

  /** The engine from which to fetch the prompt's prefix, if worthwhile. */
  fetchSource(
    prompt: PromptSize,
    upstream: UpstreamState,
    nowMs: number,
  ): UpstreamState | undefined {
    if (upstream.traits.fetchMsPerToken === 0) return undefined;
    const {holder} = this.estimateOf(prompt, nowMs);
    const cached = upstream.cache.cachedTokens(prompt.parts);
    const isWorthFetching =
      holder !== undefined && holder.tokens - cached >= MIN_FETCH_TOKENS;
    return isWorthFetching ? holder.upstream : undefined;
  }

  private cachedTokens(
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
