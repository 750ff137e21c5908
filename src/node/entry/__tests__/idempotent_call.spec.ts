import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  ServiceUpstream,
  type DispatchOutcome,
  type ServiceTarget,
} from '../../adapters/upstream/plain_service.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {monotonicNowMs} from '../../clock/clock.js';
import {flushPromises} from '../../records/__tests__/support/utils.js';
import {GatewayError, type WorkState} from '../../types/errors.js';
import {
  asId,
  type Digest,
  type UpstreamId,
  type WorkspaceId,
} from '../../types/ids.js';
import {RetryBudget, runIdempotentCall} from '../idempotent_call.js';

/** A scripted reply of an upstream: a status or a failure. */
type Reply = number | WorkState | 'silent';

class ScriptedUpstream extends ServiceUpstream {
  readonly tried: string[] = [];

  constructor(private readonly replies: Reply[]) {
    super();
  }

  override async dispatch(
    target: ServiceTarget,
    _request: unknown,
    deadlineAtMs: number,
  ): Promise<DispatchOutcome> {
    this.tried.push(target.upstreamId);
    const reply = this.replies.shift() ?? 200;
    if (typeof reply === 'number') {
      const bodyDigest = asId<Digest>('');
      const body = Buffer.from(target.upstreamId);
      const answer = {status: reply, headers: {}, body, bodyDigest};
      return {kind: 'answered', answer: {...answer, bodySizeBytes: 0}};
    }
    if (reply === 'silent') {
      await new Promise(resolve =>
        setTimeout(resolve, deadlineAtMs - monotonicNowMs()),
      );
    }
    const work = reply === 'not_run' ? 'not_run' : 'unknown';
    const error = new GatewayError({
      code: 'upstream_failed',
      message: 'scripted',
      step: 'test',
      peer: target.upstreamId,
      work,
    });
    return {kind: work, error};
  }

  override async close(): Promise<void> {}
}

class LimitedBudget extends RetryBudget {
  firstTries = 0;

  constructor(private retries: number) {
    super();
  }

  override recordFirstTry(): void {
    this.firstTries += 1;
  }

  override takeRetry(): boolean {
    this.retries -= 1;
    return this.retries >= 0;
  }
}

async function run(
  t: TestContext,
  replies: Reply[],
  retries: number,
  timeoutMs = 10_000,
): Promise<unknown> {
  const upstream = new ScriptedUpstream(replies);
  const budget = new LimitedBudget(retries);
  const running = runIdempotentCall(
    {
      workspaceId: asId<WorkspaceId>('shop-1'),
      deadlineAtMs: monotonicNowMs() + timeoutMs,
      request: {method: 'GET', path: '/stock', headers: {}, body: Buffer.of()},
    },
    excluded =>
      ['stock-1', 'stock-2', 'stock-3']
        .map(id => asId<UpstreamId>(id))
        .filter(id => !excluded.has(id))
        .map(upstreamId => ({upstreamId, address: '127.0.0.1:1'}))
        .at(0),
    {upstream, budget, tryTimeoutMs: 20},
  );
  await flushPromises();
  t.mock.timers.tick(20);
  const result = await running;
  const {tried} = upstream;
  return result.match(
    ({answer}) => ({status: answer.status, tried}),
    ({code, work}) => ({code, work, tried, first: budget.firstTries}),
  );
}

// Guards against retries beyond the budget or the deadline, a silent upstream
// that blocks a call until its deadline, and `not_run` reported after a try that
// may have run.
test('a failed call is retried on another upstream', async t => {
  pauseClock(t);
  matchSnapshot(import.meta.url, 'idempotent calls', {
    first: await run(t, [200], 2),
    lost: await run(t, ['unknown', 200], 2),
    silent: await run(t, ['silent', 200], 2),
    unavailable: await run(t, [503, 200], 2),
    answeredError: await run(t, [404], 2),
    budgetSpent: await run(t, ['unknown', 'unknown', 200], 1),
    upstreamsSpent: await run(t, ['not_run', 'not_run', 'not_run'], 9),
    unknownThenRefused: await run(t, ['unknown', 'not_run', 'not_run'], 9),
    deadline: await run(t, ['silent', 200], 9, 10),
    late: await run(t, [200], 9, 0),
  });
});

test('a call without an available upstream is reported as not run', async () => {
  const upstream = new ScriptedUpstream([]);
  const result = await runIdempotentCall(
    {
      workspaceId: asId<WorkspaceId>('shop-1'),
      deadlineAtMs: monotonicNowMs() + 1_000,
      request: {method: 'GET', path: '/stock', headers: {}, body: Buffer.of()},
    },
    () => undefined,
    {upstream, budget: new LimitedBudget(1), tryTimeoutMs: 20},
  );
  assert.equal(result.isErr() && result.error.work, 'not_run');
});
