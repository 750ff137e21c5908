import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {WorkspaceSpec} from '../../routes/route_table.js';
import {asId, type WorkspaceId} from '../../types/ids.js';
import {digestOfKey} from '../key_digest.js';
import {KeyHistory} from '../key_history.js';

const SEED = 20_261_206;
const KEYS = ['k0', 'k1', 'k2', 'k3'];

type Tables = readonly (readonly string[])[];

function workspaceOf(keys: readonly string[]): WorkspaceSpec {
  return {
    name: asId<WorkspaceId>('blue'),
    keyDigests: keys.map(digestOfKey),
    homeRegions: [],
  };
}

/** The history after tables with these keys; their versions are `2, 4, 6...`. */
function historyOf(tables: Tables): KeyHistory | undefined {
  return tables.reduce<KeyHistory | undefined>(
    (before, keys, index) =>
      KeyHistory.upTo(
        {version: 2 * (index + 1), workspaces: [workspaceOf(keys)]},
        before,
      ),
    undefined,
  );
}

// Guards against an operator who is told another version than the one that took the
// key away, as after a key that came back, or that a version was skipped over.
test('a key is unknown since the version that took it away', () => {
  const tables = [['k0', 'k1', 'k2'], ['k1'], ['k1', 'k0'], ['k1']];
  const history = historyOf(tables);
  assert.deepEqual(
    ['k0', 'k2', 'k3'].map(key => history?.absenceOf(key)),
    [
      {sinceVersion: 8, formerWorkspace: 'blue'},
      {sinceVersion: 4, formerWorkspace: 'blue'},
      {sinceVersion: 2, formerWorkspace: undefined},
    ],
  );
});

// Guards against the same for any order of changes: the version named and all later
// ones lack the key, and the one before held it, if there is one.
test('the version named is the first without the key', () => {
  const tables = fc.array(fc.subarray(KEYS), {minLength: 1, maxLength: 8});
  fc.assert(
    fc.property(tables, versions => {
      const history = historyOf(versions);
      const last = versions.at(-1) ?? [];
      KEYS.filter(key => !last.includes(key)).forEach(key => {
        const heldAt = versions.findLastIndex(keys => keys.includes(key));
        assert.deepEqual(history?.absenceOf(key), {
          sinceVersion: 2 * (heldAt + 2),
          formerWorkspace: heldAt < 0 ? undefined : 'blue',
        });
      });
    }),
    {seed: SEED},
  );
});

// Guards against memory that grows with each key that an operator replaces, and
// against a claim on a key that was forgotten.
test('the oldest of many taken keys are forgotten', () => {
  const many = Array.from({length: 5_000}, (_, index) => `key-${index}`);
  const history = historyOf([['first'], many, ['last'], []]);
  assert.deepEqual(
    ['first', many[0] ?? '', many.at(-1) ?? '', 'last'].map(
      key => history?.absenceOf(key).sinceVersion,
    ),
    [6, 6, 6, 8],
  );
});

// Guards against a log line or a dump of memory from which a key can be read.
test('no key is kept', () => {
  const history = historyOf([['a-key'], []]);
  assert.ok(
    !JSON.stringify([...Object.values(history ?? {})]).includes('a-key'),
  );
});
