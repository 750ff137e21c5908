import assert from 'node:assert/strict';
import {test} from 'node:test';
import {playgroundAnswers} from '../../config/__tests__/playground.js';
import type {Configuration} from '../../config/configuration.js';
import {generate} from '../../config/generate.js';
import {summarizeChanges} from '../change_summary.js';

const BEFORE = generate(playgroundAnswers('trazo'));

function afterAll(
  change: (
    workspace: Configuration['workspaces'][number],
  ) => Partial<Configuration['workspaces'][number]>,
): Configuration {
  const workspaces = BEFORE.workspaces.map(each => ({
    ...each,
    ...change(each),
  }));
  return {...BEFORE, workspaces};
}

// Guards against an audit entry that keeps what leads back to a key.
test('the audit has no whole digest', () => {
  const after = afterAll(({keyDigests}) => ({
    keyDigests: keyDigests.map(digest => digest.split('').reverse().join('')),
  }));
  const operators = [
    {name: 'mateo', keyDigest: 'c'.repeat(64)},
    {name: 'lucia', keyDigest: 'd'.repeat(64)},
  ];
  const summary = summarizeChanges(BEFORE, {...after, operators});
  assert.match(summary, /keyDigests: \+[0-9a-f]{12} -[0-9a-f]{12}/);
  assert.doesNotMatch(summary, /[0-9a-f]{13}/);
});

// Guards against an audit trail, which the members keep in memory, that grows with
// the size of what an operator sends.
test('an audit entry names some of many changes', () => {
  const allowedRegionIds = BEFORE.regions.map(({regionId}) => regionId);
  const rank = (priority: number): string => `rank-${priority}`.repeat(20);
  const after = {
    ...afterAll(() => ({allowedRegionIds, fairWeight: 9})),
    models: [],
    ranks: BEFORE.ranks.map(each => ({
      ...each,
      rankId: rank(each.priority) as (typeof each)['rankId'],
    })),
    upstreams: BEFORE.upstreams.map(each => ({...each, slotCount: 99})),
  };
  const summary = summarizeChanges(BEFORE, after);
  assert.match(summary, /; \d+ more changes$/);
  assert.ok(summary.length < 2_500, summary);
});
