import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  chat,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const {upstreamId} = upstream('dark');

function withUpstreams() {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const upstreams = [upstream('dark'), upstream('sound')];
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 800});
  return scheduler;
}

// Guards against grants to an unresponsive upstream until the requests already
// running on it time out.
test('an upstream that stalls and fails a probe gets no requests', () => {
  const scheduler = withUpstreams();
  scheduler.pool.suspect(upstreamId, 0);
  assert.deepEqual(
    scheduler.pool.toProbe().map(each => each.listed.upstreamId),
    ['dark'],
  );
  scheduler.pool.noteProbeFailure(upstreamId, 1_000);
  Array.from({length: 20}, (_, number) => chat(`c${number}`)).forEach(item =>
    scheduler.submit(item, 1_000),
  );
  const used = scheduler
    .decide(1_000)
    .flatMap(each => (each.kind === 'grant' ? [each.upstreamId] : []));
  assert.deepEqual([...new Set(used)], ['sound']);
});

// Guards against marking a busy upstream as down: a probe waits for a slot like
// any request, so it may time out.
test('a failed probe does not mark an answering upstream as down', () => {
  const scheduler = withUpstreams();
  scheduler.submit(chat('c1'), 0);
  const [grant] = scheduler.decide(0);
  assert.equal(grant?.kind, 'grant');
  if (grant?.kind !== 'grant') return;
  const {requestId} = grant;
  scheduler.release(
    [
      {
        requestId,
        upstreamId: grant.upstreamId,
        outcome: 'answered',
        firstAnswerMs: 30,
        totalMs: 900,
      },
    ],
    900,
  );
  scheduler.pool.suspect(grant.upstreamId, 0);
  scheduler.pool.noteProbeFailure(grant.upstreamId, 1_000);
  assert.equal(scheduler.pool.get(grant.upstreamId)?.isDown, false);
});

// Guards against an upstream that passes its health check but answers nothing:
// streams that must not be retried would keep waiting there.
test('an upstream that stalls but passes probes is avoided for a time', () => {
  const scheduler = createScheduler(ENGINE_TRAITS);
  // The first engine is reserved for long prompts.
  const upstreams = ['long', 'dark', 'sound'].map(name => upstream(name));
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 800});
  const place = (name: string, nowMs: number): string => {
    scheduler.submit(chat(name), nowMs);
    const [decision] = scheduler.decide(nowMs);
    return decision?.kind === 'grant' ? decision.upstreamId : 'none';
  };
  const stalls = Array.from({length: 12}, (_, number) => number * 50);
  stalls.forEach(nowMs => {
    scheduler.pool.suspect(upstreamId, nowMs);
    scheduler.pool.noteProbe(upstreamId, 0, nowMs);
  });
  const names = Array.from({length: 20}, (_, number) => `c${number}`);
  const during = names.map(name => place(name, 700));
  const later = names.map(name => place(`${name} later`, 90_000));
  // Requests without a grant wait for the sound upstream.
  assert.ok(during.includes('sound') && !during.includes('dark'));
  assert.ok(later.includes('dark'));
});
