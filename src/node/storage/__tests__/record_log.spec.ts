import assert from 'node:assert/strict';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import fc from 'fast-check';
import {FaultFileLayer} from '../../__tests__/support/fault_file_layer.js';
import {GatewayError} from '../../types/errors.js';
import {NodeFileLayer} from '../node_file_layer.js';
import {RecordFile, RecordLog} from '../record_log.js';
import {decodeRecords, encodeRecord} from '../records.js';

const VALUES = [{n: 1}, {n: 22, text: 'é'}, ['three'], null];

function encodedLog(): Buffer {
  return Buffer.concat(VALUES.map(value => encodeRecord(value)));
}

function isDamage(thrown: unknown): boolean {
  return thrown instanceof GatewayError && thrown.code === 'storage_damaged';
}

test('a log cut at any length decodes to its complete records', () => {
  // Guards against a crash during an append that makes the log unreadable.
  const bytes = encodedLog();
  for (let size = 0; size <= bytes.length; size++) {
    const {jsons, sizeBytes} = decodeRecords(bytes.subarray(0, size), 'log');
    const values = jsons.map(json => JSON.parse(json) as unknown);
    assert.deepEqual(values, VALUES.slice(0, values.length));
    assert.ok(sizeBytes <= size);
    const next = values.length < VALUES.length ? VALUES[values.length] : null;
    assert.ok(size - sizeBytes < encodeRecord(next).length);
  }
});

test('a corrupted byte before the last record is reported as damage', () => {
  // Guards against corruption, also of a record length, that is mistaken for a
  // torn tail.
  const bytes = encodedLog();
  const lastSize = encodeRecord(VALUES.at(-1)).length;
  const property = fc.property(
    fc.nat(bytes.length - lastSize - 1),
    fc.integer({min: 1, max: 255}),
    (offset, change) => {
      const damaged = Buffer.from(bytes);
      damaged[offset] = (damaged[offset] ?? 0) ^ change;
      assert.throws(() => decodeRecords(damaged, 'log'), isDamage);
    },
  );
  fc.assert(property, {seed: 5, numRuns: 500});
});

test('an append that resolved survives a crash at every operation', async () => {
  // Guards against acknowledged records that exist only in the page cache.
  for (let crashAt = 1; ; crashAt++) {
    for (const tornShare of [0, 0.6, 1]) {
      const files = new FaultFileLayer({crashAt, tornShare});
      const log = new RecordLog(files, 'log');
      const acknowledged: number[] = [];
      try {
        await log.load();
        for (let n = 1; n <= 5; n++) {
          await log.append(n);
          acknowledged.push(n);
        }
        if (tornShare === 1) return;
      } catch {
        assert.ok(files.isCrashed);
      }
      files.restart();
      const reopened = new RecordLog(files, 'log');
      const loaded = await reopened.load();
      assert.deepEqual(loaded.slice(0, acknowledged.length), acknowledged);
      await reopened.append('next');
      files.restart();
      assert.deepEqual(await reopened.load(), [...loaded, 'next']);
    }
  }
});

test('the production file layer keeps synced data and truncates a torn tail', async context => {
  // Guards against wrong paths, open modes and offsets on a real file system.
  const root = await mkdtemp(join(tmpdir(), 'cyclamenfall-storage-'));
  context.after(() => rm(root, {recursive: true}));
  const files = new NodeFileLayer(join(root, 'data'));
  const log = new RecordLog(files, 'group/log');
  const file = new RecordFile(files, 'group/state');
  assert.equal(await file.load(1), undefined);
  assert.deepEqual(await log.load(), []);
  await log.rewrite('first');
  await log.append('second');
  await file.save(['1']);
  await file.save(['2']);
  await files.close();
  const path = join(root, 'data', 'group', 'log');
  const intact = await readFile(path);
  await writeFile(path, Buffer.concat([intact, encodeRecord('x').subarray(5)]));
  assert.deepEqual(await log.load(), ['first', 'second']);
  assert.deepEqual(await readFile(path), intact);
  assert.deepEqual(await file.load(1), ['2']);
  assert.deepEqual(await files.list('group'), ['group/log', 'group/state']);
  await files.remove('group/state');
  await files.remove('group/state');
  assert.equal(await file.load(1), undefined);
  await files.close();
});
