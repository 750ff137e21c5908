/**
 * Serving decisions: pure functions and small state machines over (state,
 * event, now), without I/O and without reading a clock.
 *
 * How an entry uses them for one request (`measure/gateway_strategy.ts` is a
 * complete example):
 *
 * 1. For each pool: `admission.setSlots(id, poolCapacity(view, id, now))`.
 * 2. Call `CrashLedger.verdict`, then `admission.preview`, then `chooseDomain`
 *    with the result of `preview`. A request for another domain is forwarded
 *    once; if that domain answers `not_run`, the origin queues the request.
 * 3. `admission.enqueue`, with `firstTokenDueAtMs` for a forwarded request.
 * 4. After every arrival, completion and gossip update: step 1, then
 *    `admission.next(now, prefers)` with `hasFreeOwner` as the preference,
 *    `chooseUpstream` with the `leavesReserve` of the started request, and step
 *    1 again, until no request starts. Answer the requests that
 *    `admission.expire` returns.
 * 5. At the end of a try: `admission.complete` once, then update
 *    `HealthTracker`, and call `retryVerdict` with `RetryBudgets` if it failed.
 */
export * from './fleet/domain_view.js';
export * from './fleet/fleet_view.js';
export * from './fleet/load_report.js';
export * from './fleet/pool.js';
export * from './fleet/upstream_view.js';
export * from './admission/admission_queue.js';
export * from './admission/types.js';
export * from './entry_list/entry_list.js';
export * from './health/health_tracker.js';
export * from './health/progress_deadline.js';
export * from './health/slow_start.js';
export * from './retry/hedging.js';
export * from './retry/retry_budget.js';
export * from './retry/retry_verdict.js';
export * from './routing/cache_confidence.js';
export * from './routing/choose_upstream.js';
export * from './routing/pool_capacity.js';
export * from './routing/reserve.js';
export * from './routing/upstream_load.js';
export * from './offload/choose_domain.js';
export * from './offload/types.js';
export * from './quarantine/crash_ledger.js';
