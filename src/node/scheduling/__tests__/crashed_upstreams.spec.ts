import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type UpstreamId} from '../../types/ids.js';
import {UpstreamPool} from '../upstream_pool.js';
import type {ListedUpstream} from '../types.js';
import {chat, ENGINE_TRAITS, upstream} from './scheduling_fixture.js';

const ENGINE = asId<UpstreamId>('engine');
const {requestId} = chat('c1');

interface Harness {
  readonly pool: UpstreamPool;
  readonly crashes: string[];
}

/** A pool whose engine loses the connection of one of two requests at 100 ms. */
function afterBrokenConnection(fields: Partial<ListedUpstream> = {}): Harness {
  const crashes: string[] = [];
  const pool = new UpstreamPool({
    traits: ENGINE_TRAITS,
    onPoolChange: () => undefined,
    onCrash: ({crashId, running}) =>
      crashes.push(`${crashId} with ${running.length}`),
  });
  read(pool, [upstream('engine', fields)], 0);
  ['c1', 'c2'].forEach(name => pool.get(ENGINE)?.start(chat(name), 0));
  pool.end(
    {
      requestId,
      upstreamId: ENGINE,
      outcome: 'broken',
      firstAnswerMs: 0,
      totalMs: 100,
    },
    100,
  );
  return {pool, crashes};
}

function read(
  pool: UpstreamPool,
  upstreams: readonly ListedUpstream[],
  readAtMs: number,
): void {
  pool.applyReading({upstreams, readAtMs, lagMs: 0});
}

// Guards against crashes that nobody notices: the same request would crash the
// next upstream.
test('the end of a process after a lost connection is a crash', () => {
  const refused = afterBrokenConnection();
  refused.pool.noteProbeFailure(ENGINE, 110, true);
  refused.pool.noteProbeFailure(ENGINE, 600, true);
  const unlisted = afterBrokenConnection();
  read(unlisted.pool, [], 2_000);
  const restarted = afterBrokenConnection();
  read(restarted.pool, [upstream('engine', {bornAtMs: 2})], 2_000);
  const silent = afterBrokenConnection();
  silent.pool.noteProbeFailure(ENGINE, 600);
  silent.pool.noteProbeFailure(ENGINE, 1_100);
  assert.deepEqual(
    [refused, unlisted, restarted, silent].map(({crashes}) => crashes),
    Array.from({length: 4}, () => ['engine@1 with 2']),
  );
});

// Guards against a quarantine of requests whose connections were reset, or whose
// upstream was stopped on purpose.
test('a lost connection or a planned end is no crash', () => {
  const answering = afterBrokenConnection();
  answering.pool.noteProbe(ENGINE, 0, 110);
  read(answering.pool, [], 2_000);
  const busy = afterBrokenConnection();
  busy.pool.noteProbeFailure(ENGINE, 600);
  const draining = afterBrokenConnection({isDraining: true});
  draining.pool.noteProbeFailure(ENGINE, 110, true);
  assert.deepEqual(
    [answering, busy, draining].flatMap(({crashes}) => crashes),
    [],
  );
});
