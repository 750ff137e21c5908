import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pack, unpack} from '../../control/packing.js';
import {asId, type WorkspaceId} from '../../types/ids.js';
import {digestOfKey} from '../../workspaces/key_digest.js';
import type {RouteTable} from '../route_table.js';
import {SourceSeal} from '../source_seal.js';
import {tableOf} from './support/control_group.js';

const SECRET = 'secret-of-the-specs';
const SOURCE = '{"workspaces": [{"keys": ["key-of-blue"]}], "note": "ü"}';
const WITH_KEYS: RouteTable = {
  ...tableOf(7),
  source: SOURCE,
  workspaces: [
    {
      name: asId<WorkspaceId>('blue'),
      keyDigests: [digestOfKey('key-of-blue')],
      homeRegions: [],
    },
  ],
};

// Guards against keys of callers in the log, in snapshots and in messages, and
// against a configuration that is read back with other content than was sent.
test('a text with keys is stored sealed and opened by other members', () => {
  const stored = unpack(
    pack(new SourceSeal(SECRET).sealed(WITH_KEYS)),
  ) as RouteTable;
  assert.ok(!JSON.stringify(stored).includes('key-of-blue'));
  const opened = new SourceSeal(SECRET).open(stored);
  assert.equal(opened._unsafeUnwrap(), SOURCE);
});

// Guards against a text that is read back under another version or changed on the
// disk, and against one that opens without the secret.
test('a sealed text opens only whole, with its version and the secret', () => {
  const seal = new SourceSeal(SECRET);
  const stored = seal.sealed(WITH_KEYS);
  const other = new SourceSeal('another secret of them');
  const results = [
    other.open(stored),
    seal.open({...stored, version: 8}),
    seal.open({...stored, source: stored.source.slice(0, -8)}),
  ];
  assert.deepEqual(
    results.map(result => result.isErr()),
    [true, true, true],
  );
});

// Guards against a text that members of former versions cannot read.
test('a text without keys is stored as it is', () => {
  const seal = new SourceSeal(SECRET);
  const table: RouteTable = {...tableOf(7), source: '{"version": 7}'};
  assert.deepEqual(seal.sealed(table), table);
  assert.equal(seal.open(table)._unsafeUnwrap(), table.source);
});
