/** Each file call that writes, refused by the operating system. */
import assert from 'node:assert/strict';
import {appendFile, mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {
  FILE_CALLS,
  installFileCallFaults,
  type FileCall,
} from '../../__tests__/support/file_call_faults.js';
import {diskError} from '../../__tests__/support/refusing_file_layer.js';
import {NodeFileLayer} from '../node_file_layer.js';
import {RecordFile, RecordLog} from '../record_log.js';

interface Refusals {
  refused: FileCall | undefined;
  code: string;
  /** Passes this many calls before one is refused. */
  passes: number;
  hits: number;
}

interface Disk {
  readonly root: string;
  readonly refusals: Refusals;
}

async function prepare(context: TestContext): Promise<Disk> {
  const root = await mkdtemp(join(tmpdir(), 'cyclamenfall-refused-'));
  const refusals: Refusals = {
    refused: undefined,
    code: 'ENOSPC',
    passes: 0,
    hits: 0,
  };
  const restore = installFileCallFaults((call, path) => {
    const isOurs = call === refusals.refused && path.startsWith(root);
    if (!isOurs || refusals.passes-- > 0) return Promise.resolve();
    refusals.hits += 1;
    return Promise.reject(diskError(refusals.code));
  });
  context.after(async () => {
    restore();
    await rm(root, {recursive: true});
  });
  return {root, refusals};
}

async function isDone(action: Promise<unknown>): Promise<boolean> {
  return action.then(
    () => true,
    () => false,
  );
}

for (const code of ['ENOSPC', 'EIO']) {
  for (const refused of FILE_CALLS) {
    // Guards against a retried append that leaves a damaged or doubled record, and
    // against half-written temporary files that keep a full disk full.
    test(`the log stays readable after ${code} of ${refused}`, async context => {
      const {root, refusals} = await prepare(context);
      refusals.code = code;
      for (const passes of [0, 1, 2]) {
        const name = `${code}-${refused}-${passes}/log`;
        const files = new NodeFileLayer(root);
        const log = new RecordLog(files, name);
        const state = new RecordFile(files, `${name}-state`);
        const written: unknown[] = [];
        // A call that failed is repeated with room, as `StorageWriter` does.
        const once = async (action: () => Promise<unknown>): Promise<void> => {
          Object.assign(refusals, {refused, passes});
          const isFirstDone = await isDone(action());
          refusals.refused = undefined;
          if (!isFirstDone) await action();
        };
        for (const n of [1, 2]) {
          await once(() => log.append(n));
          written.push(n);
        }
        await once(() => state.save(['"first"']));
        // A refused replacement is given up, and the log goes on.
        Object.assign(refusals, {refused, passes});
        if (await isDone(log.rewrite('base'))) written.splice(0, 2, 'base');
        refusals.refused = undefined;
        const isInPlace =
          (await new RecordLog(files, name).load())[0] === 'base';
        if (isInPlace) written.splice(0, written.length, 'base');
        await once(() => log.append(3));
        written.push(3);
        await files.close();
        await appendFile(join(root, name), Buffer.from([0, 0, 1]));
        const again = new NodeFileLayer(root);
        const reopened = new RecordLog(again, name);
        await once(() => reopened.load());
        await once(() => reopened.append(4));
        assert.deepEqual(await reopened.load(), [...written, 4], `${passes}`);
        assert.deepEqual(await new RecordFile(again, `${name}-state`).load(1), [
          '"first"',
        ]);
        const left = await readdir(join(root, name, '..'));
        if (refused !== 'remove') {
          assert.deepEqual(left.sort(), ['log', 'log-state']);
        }
        await again.close();
      }
      assert.ok(refusals.hits > 0 || refused === 'remove', 'nothing refused');
    });
  }
}

// Guards against what an interrupted replacement has left taking room for good.
test('temporary files of an earlier process are removed', async context => {
  const {root} = await prepare(context);
  const files = new NodeFileLayer(root);
  await files.append('group/log', Buffer.from('x'));
  await appendFile(join(root, 'group', 'snapshot.tmp'), 'half');
  await files.removeLeftovers('group');
  await files.removeLeftovers('missing');
  assert.deepEqual(await readdir(join(root, 'group')), ['log']);
  await files.close();
});
