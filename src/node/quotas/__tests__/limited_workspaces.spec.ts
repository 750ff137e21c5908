import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pino} from 'pino';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MetricsRegistry} from '../../metrics/registry.js';
import type {WorkspaceSpec} from '../../routes/route_table.js';
import {asId, type WorkspaceId} from '../../types/ids.js';
import type {Balance} from '../balance.js';
import type {Admission} from '../entry_quotas.js';
import {LimitedWorkspaces} from '../limited_workspaces.js';

const NAME = asId<WorkspaceId>('reports');
const SPEC = {name: NAME, quota: {ratePerS: 5}} as unknown as WorkspaceSpec;
const BALANCE = {
  state: () => ({units: 0, sharePerS: 2, demandPerS: 9, hasLease: true}),
} as unknown as Balance;
const REFUSED: Admission = {kind: 'refused', retryAfterMs: 100};

function createLimited(t: TestContext) {
  pauseClock(t);
  const lines: string[] = [];
  const metrics = new MetricsRegistry();
  const logger = pino({}, {write: line => void lines.push(line)});
  const limited = new LimitedWorkspaces({logger, metrics});
  const refuse = (): void => limited.note(SPEC, 1, REFUSED, BALANCE);
  const events = (): readonly unknown[] =>
    lines.map(line => {
      const {event, limitedMs} = JSON.parse(line) as Record<string, unknown>;
      return limitedMs === undefined ? [event] : [event, limitedMs];
    });
  return {limited, metrics, refuse, events};
}

// Guards against a workspace that has sent nothing for an hour and is shown as limited
// since then, because its next request is refused as well.
test('a refusal after a pause begins a new limitation', t => {
  const {limited, refuse, events} = createLimited(t);
  refuse();
  t.mock.timers.tick(700);
  refuse();
  t.mock.timers.tick(3_600_000);
  assert.equal(limited.limitedForMs(NAME), undefined);
  refuse();
  t.mock.timers.tick(300);
  assert.equal(limited.limitedForMs(NAME), 300);
  assert.deepEqual(events(), [
    ['quota_limited'],
    ['quota_unlimited', 700],
    ['quota_limited'],
  ]);
});

// Guards against a metric that says that a workspace is limited until it sends its next
// request, which may be never.
test('the metric ends without another request', t => {
  const {metrics, refuse} = createLimited(t);
  const gauge = (): number | undefined =>
    metrics.snapshot().gauges.find(({name}) => name === 'quota_limited')?.value;
  refuse();
  const during = gauge();
  t.mock.timers.tick(10_000);
  assert.deepEqual([during, gauge()], [1, 0]);
});
