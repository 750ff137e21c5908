import {HEADER} from '../../platform/headers.js';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CompetingWorkspaces} from '../competing_workspaces.js';
import type {CallResult, History, UpstreamRun} from '../history.js';
import {createLayout} from '../layout.js';
import {
  changingKeyOf,
  lastingKeyOf,
  lifeOfKey,
  workspacesOf,
} from '../workspaces.js';
import {
  arrival,
  call,
  order,
  problemsOf,
  run,
} from './support/forged_history.js';

const FIRST_VERSION = 4;
const LAST_VERSION = 19;
const CHANGING_KEY = changingKeyOf(FIRST_VERSION);
const UNKNOWN_KEY = 'soak-key-of-nobody';

/** The first version without the key and the ones before it, in force for long. */
const TAKEN_AWAY = [
  order('replace', FIRST_VERSION),
  order('replace', LAST_VERSION + 3),
  order('read', LAST_VERSION + 3, {sentAtMs: 9_000}),
];

function runOf(workspace: string, fields: Partial<UpstreamRun> = {}) {
  const headers = {[HEADER.workspace]: workspace, 'request-priority': '0'};
  return run({headers, ...fields});
}

function refused(status: number, fields: Partial<CallResult> = {}): CallResult {
  return call({status, stamp: undefined, text: '', ...fields});
}

function keyOf(workspace: string): {readonly key: string} {
  return {key: lastingKeyOf(workspace)};
}

/** Calls that were served, one each `intervalMs`, with their runs. */
function servedAt(
  workspace: string,
  count: number,
  intervalMs: number,
): Pick<History, 'calls' | 'runs'> {
  const positions = Array.from({length: count}, (_, position) => position);
  return {
    calls: positions.map(position => {
      const attemptId = `a${position}`;
      const text = `done by u0-0 ${attemptId}`;
      return call({...keyOf(workspace), attemptId, text});
    }),
    runs: positions.map(position =>
      runOf(workspace, {
        attemptId: `a${position}`,
        startedAtMs: 20_000 + position * intervalMs,
      }),
    ),
  };
}

const FORGED: readonly (readonly [RegExp, Partial<History>])[] = [
  // 6 + (6 + 3 x 8) / 10 = 9 requests beside the rate of 3 a second.
  [
    /requests ran 10 units more in some window than its rate, 9 are allowed/,
    servedAt('requests', 10, 0),
  ],
  [
    /requests ran 10 units more/,
    // 46 in 12.0 s, of which 36 are the rate.
    servedAt('requests', 46, 267),
  ],
  // 400 + (400 + 200 x 8) / 10 + 100 = 700 tokens beside the rate.
  [/tokens ran 800 units more/, servedAt('tokens', 8, 0)],
  [
    /of plain ran as one of homed/,
    {calls: [call(keyOf('plain'))], runs: [runOf('homed')]},
  ],
  [
    /of plain ran as one of undefined/,
    {calls: [call(keyOf('plain'))], runs: [run()]},
  ],
  [
    /of plain ran with priority 0/,
    {calls: [call(keyOf('plain'))], runs: [runOf('plain')]},
  ],
  [
    /ran in south-a, outside the homes of homed/,
    {
      calls: [call(keyOf('homed'))],
      runs: [runOf('homed', {domain: 'south-a'})],
    },
  ],
  [
    /u0-0 holds a key: "x-api-key\\nsoak-key-plain"/,
    {texts: [{source: 'u0-0', text: 'x-api-key\nsoak-key-plain'}]},
  ],
  [
    /entry-0.log holds a key/,
    {texts: [{source: 'entry-0.log', text: `{"key":"${CHANGING_KEY}"}`}]},
  ],
  [/an unknown key was answered 200/, {calls: [call({key: UNKNOWN_KEY})]}],
  [
    /an unknown key was answered 503/,
    {calls: [refused(503, {key: UNKNOWN_KEY})]},
  ],
  [/an unknown key has run/, {calls: [refused(401, {key: UNKNOWN_KEY})]}],
  [/was answered 401 and has run/, {calls: [refused(401, keyOf('plain'))]}],
  [/a known key got 401/, {calls: [refused(401, keyOf('plain'))], runs: []}],
  [
    /a known key got 401/,
    {calls: [refused(401, {key: CHANGING_KEY})], runs: []},
  ],
  [
    /of plain, which has no quota, got 429/,
    {calls: [refused(429, keyOf('plain'))], runs: []},
  ],
  [
    /41 repeated arrivals in a window with 1 requests, 40 are allowed/,
    {
      calls: [
        call(keyOf('requests')),
        ...Array.from({length: 20}, (_, index) =>
          refused(429, {...keyOf('requests'), attemptId: `b${index}`}),
        ),
      ],
      runs: [runOf('requests')],
      arrivals: Array.from({length: 42}, (_, index) => arrival(index)),
    },
  ],
  [/got 401 although there are no workspaces/, {calls: [refused(401)]}],
  [
    /was taken away was answered 200, it ran 1 times/,
    {
      calls: [call({key: CHANGING_KEY})],
      runs: [runOf('changing')],
      operator: TAKEN_AWAY,
    },
  ],
  [
    /was taken away was answered 0, it ran 1 times/,
    {
      calls: [refused(0, {key: CHANGING_KEY, isComplete: false})],
      runs: [runOf('changing')],
      operator: TAKEN_AWAY,
      // An entry without a fault is asked for it while others have some.
      calmAtMs: 18_000,
      unimpairedEntries: ['entry-of-north'],
    },
  ],
];

// Guards against a check that a broken promise to workspaces passes.
test('each broken promise to workspaces is found', () => {
  FORGED.forEach(([expected, fields]) => {
    const problems = problemsOf(fields);
    assert.ok(
      problems.some(problem => expected.test(problem)),
      `${expected} not in ${JSON.stringify(problems)}`,
    );
  });
});

const KEPT: readonly Partial<History>[] = [
  servedAt('requests', 9, 0),
  servedAt('requests', 60, 334),
  servedAt('tokens', 7, 0),
  {calls: [refused(401, {key: CHANGING_KEY})], runs: [], operator: TAKEN_AWAY},
  {
    calls: [call({key: CHANGING_KEY})],
    runs: [runOf('changing')],
    operator: TAKEN_AWAY,
    // The entry may be cut off from the version without the key.
    calmAtMs: 18_000,
  },
];

/** The one check of the service that a history of few calls cannot pass. */
const NO_CALLS = 'no call was made after the faults';

// Guards against checks that find fault with what the terms allow: a quota that is
// used up, and an entry that is cut off from the version that takes a key away.
test('what the terms allow has no problems', () => {
  KEPT.forEach(fields => {
    const problems = problemsOf(fields).filter(each => each !== NO_CALLS);
    assert.deepEqual(problems, []);
  });
});

// Guards against keys whose versions the checks know otherwise than the operator
// sends them.
test('a key is in the versions that its life says', () => {
  const versions = [1, 4, 7, 10, 13, 16, 19, 22];
  const holders = versions.filter(version =>
    workspacesOf(version).some(
      ({name, apiKeys}) =>
        name === 'changing' && apiKeys.includes(CHANGING_KEY),
    ),
  );
  const life = lifeOfKey(CHANGING_KEY);
  assert.deepEqual(holders, [4, 7, 10, 13, 16, 19]);
  assert.deepEqual(
    [life?.workspace.name, life?.firstVersion, life?.lastVersion],
    ['changing', FIRST_VERSION, LAST_VERSION],
  );
});

// Guards against entries that count as in touch although a fault hits them or all
// control members.
test('entries without faults are named only while control members are in touch', () => {
  const layout = createLayout(0);
  const profile = new CompetingWorkspaces();
  const seeds = Array.from({length: 40}, (_, seed) => seed);
  const named = seeds.map(seed => {
    const faults = profile.faultsOf(seed, layout);
    const names = profile.unimpairedEntries(faults, layout);
    const targets = faults.map(each => each.target);
    assert.ok(names.every(name => !targets.includes(name)));
    return names.length > 0 && targets.includes('all');
  });
  assert.ok(!named.includes(true));
});
