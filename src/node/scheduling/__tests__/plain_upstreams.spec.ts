import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type UpstreamId} from '../../types/ids.js';
import type {WorkItem} from '../types.js';
import {
  chat,
  createScheduler,
  PLAIN_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const NAMES = ['a', 'b', 'c'];
const WARM_UP = 60;
const INTERVAL_MS = 400;

function plain(name: string): WorkItem {
  const {prompt: _prompt, ...item} = chat(name);
  return item;
}

/** The upstreams that get requests one after another, one of them a fast one. */
function usedWith(fast: string): readonly string[] {
  const scheduler = createScheduler(PLAIN_TRAITS);
  const upstreams = NAMES.map(name => upstream(name, {slots: 4}));
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 0});
  // All upstreams have served requests, and their speeds are known.
  NAMES.forEach(name => {
    const totalMs = name === fast ? 10 : 200;
    const state = scheduler.pool.get(asId<UpstreamId>(name));
    Array.from({length: WARM_UP}, (_, number) => {
      const item = plain(`${name}${number}`);
      const {requestId} = item;
      state?.start(item, 0);
      scheduler.release(
        [
          {
            requestId,
            upstreamId: asId<UpstreamId>(name),
            outcome: 'answered',
            firstAnswerMs: totalMs,
            totalMs,
          },
        ],
        0,
      );
    });
  });
  return Array.from({length: 5}, (_, number) => {
    const nowMs = (number + 1) * INTERVAL_MS;
    const item = plain(`r${number}`);
    scheduler.submit(item, nowMs);
    const [decision] = scheduler.decide(nowMs);
    if (decision?.kind !== 'grant') return 'none';
    const {requestId, upstreamId} = decision;
    const answer = {firstAnswerMs: 10, totalMs: 10};
    scheduler.release(
      [{requestId, upstreamId, outcome: 'answered', ...answer}],
      nowMs + 10,
    );
    return String(upstreamId);
  });
}

// Guards against a plain upstream that is avoided as if it read long prompts:
// while others had free slots it got nothing, however fast it was.
test('the fastest plain upstream is used, whichever it is', () => {
  NAMES.forEach(fast =>
    assert.deepEqual([...new Set(usedWith(fast))], [fast], fast),
  );
});
