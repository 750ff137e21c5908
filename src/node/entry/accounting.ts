/** Records metrics of answered model calls: latency, tokens and cost. */
import {monotonicNowMs} from '../clock/clock.js';
import type {UpstreamConfig} from '../config/configuration.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ModelRequest} from './request.js';

const TOKENS_PER_COST_UNIT = 1_000;

/** An answered call. Times are on the monotonic clock. */
export interface AnsweredCall {
  readonly request: ModelRequest;
  readonly upstream: UpstreamConfig | undefined;
  readonly startedAtMs: number;
  readonly firstByteAtMs: number;
  readonly pieceCount: number;
}

/** Records the metrics of one answered call. */
export function recordAnsweredCall(
  metrics: MetricsRegistry,
  call: AnsweredCall,
): void {
  const {request, upstream, startedAtMs} = call;
  const rank = request.rank.rankId;
  const tokens = request.isStream ? call.pieceCount : request.expectedTokens;
  const costMicros =
    ((upstream?.costMicros ?? 0) * tokens) / TOKENS_PER_COST_UNIT;
  metrics.recordMs('first_token_ms', {rank}, call.firstByteAtMs - startedAtMs);
  metrics.recordMs('answer_ms', {rank}, monotonicNowMs() - startedAtMs);
  metrics.count('tokens_total', {rank}, tokens);
  metrics.count('cost_micros_total', {rank}, costMicros);
  metrics.count('workspace_answers_total', {
    workspace: request.workspace.workspaceId,
  });
}
