import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import type {WorkspaceConfig} from '../../config/configuration.js';
import {createSystem, identity, type Run} from './support/operator_system.js';

const NEW_KEY = 'a-key-that-a-machine-has-drawn';
const NEW_DIGEST = createHash('sha256').update(NEW_KEY).digest('hex');

interface Deployment extends Pick<
  ReturnType<typeof createSystem>,
  'run' | 'group'
> {
  readonly keyFile: string;
  readonly workspace: (id: string) => WorkspaceConfig | undefined;
  readonly change: (words: readonly string[], base: number) => Promise<Run>;
}

/** A deployment whose version 1 holds the workspaces of the playground. */
async function createDeployment(t: TestContext): Promise<Deployment> {
  const {folder, run, group} = createSystem(t);
  const answers = join(folder, 'answers.yaml');
  await run('answers', 'accept', answers, ...identity(0, 'operation-1'));
  const keyFile = join(folder, 'key');
  writeFileSync(keyFile, `${NEW_KEY}\n`);
  const change = (words: readonly string[], base: number): Promise<Run> =>
    run('workspace', ...words, ...identity(base, `operation-${base + 1}`));
  const workspace = (id: string): WorkspaceConfig | undefined =>
    group.logs[0]?.machine
      .accepted()
      ?.configuration.workspaces.find(each => each.workspaceId === id);
  return {run, group, keyFile, workspace, change};
}

// Guards against an operator who has to edit all answers to change one customer, and
// against an audit trail that says that something was changed, but not what.
test('workspaces are created, shown and changed, and the audit says how', async t => {
  const {run, keyFile, change, workspace} = await createDeployment(t);
  const create = ['create', 'salon', '--workloads-of', 'feria-sur'];
  const results = {
    created: await change([...create, '--key-file', keyFile], 1),
    changed: await change(
      ['set', 'salon', '--rank', 'urgent', '--fair-weight', '3'],
      2,
    ),
    keyTaken: await change(
      ['remove-key', 'salon', '--key-digest', NEW_DIGEST],
      3,
    ),
    keyAdded: await change(
      ['add-key', 'salon', '--key-digest', '1'.repeat(64)],
      3,
    ),
    oldKeyTaken: await change(
      ['remove-key', 'salon', '--key-file', keyFile],
      4,
    ),
    ranksBack: await change(['set', 'salon', '--rank', 'none'], 5),
    limited: await change(
      ['set', 'salon', '--quota-unit', 'requests'].concat([
        '--rate',
        '50',
        '--burst',
        '100',
      ]),
      6,
    ),
    raised: await change(['set', 'salon', '--rate', '62.5'], 7),
    shown: await run('workspace', 'show', 'salon'),
    withKeys: await run('workspace', 'show', 'salon', '--keys'),
    asJson: await run('workspace', 'show', 'salon', '--json'),
    unlimited: await change(['set', 'salon', '--rate', 'none'], 8),
    audit: await run('audit', '--limit', '8'),
  };
  matchSnapshot(import.meta.url, 'workspace changes', results);
  assert.deepEqual(workspace('salon')?.keyDigests, ['1'.repeat(64)]);
});

// Guards against a change that silently undoes what another operator changed between
// the read and the write.
test('a change on an earlier version is a conflict that names the winner', async t => {
  const {change, workspace, run} = await createDeployment(t);
  await change(['set', 'feria-sur', '--fair-weight', '2'], 1);
  const late = await run(
    ...['workspace', 'set', 'feria-sur', '--fair-weight', '5'],
    ...identity(1, 'operation-late'),
  );
  assert.equal(late.exitCode, 3, late.err.join('\n'));
  assert.match(
    late.err.join('\n'),
    /base version 1 is no longer current, which is 2: version 2 by lucia/,
  );
  assert.equal(workspace('feria-sur')?.fairWeight, 2);
});

// Guards against a lost answer that makes a key be added under another version, or
// reported as there already by the very change that added it.
test('a resent change has the result of its first try', async t => {
  const {change, group, keyFile} = await createDeployment(t);
  const words = ['add-key', 'feria-sur', '--key-file', keyFile];
  group.losesNextAnswer = true;
  const first = await change(words, 1);
  const again = await change(words, 1);
  assert.deepEqual([first.exitCode, again.exitCode], [0, 0], again.err.join());
  assert.equal(group.logs[0]?.machine.version(), 2);
});

// Guards against a change that the next questionnaire check would refuse, and against
// a mistyped name that changes nothing and reports success.
test('changes that make no valid workspace are refused', async t => {
  const {change, group, keyFile} = await createDeployment(t);
  const key = ['--key-file', keyFile];
  const ownKey = group.logs[0]?.machine
    .accepted()
    ?.configuration.workspaces.find(each => each.workspaceId === 'feria-sur')
    ?.keyDigests[0];
  const refused = [
    ['set', 'nobody', '--rank', 'urgent'],
    ['set', 'feria-sur', '--rank', 'immediate'],
    ['set', 'feria-sur', '--residency', 'centro,pampa'],
    ['set', 'feria-sur', '--fair-weight', '0'],
    ['set', 'feria-sur', '--rate', '5'],
    ['set', 'feria-sur', '--quota-unit', 'tokens', '--rate', '5'].concat([
      '--burst',
      '0',
    ]),
    ['create', 'feria-sur', '--workloads-of', 'plaza-retratos', ...key],
    ['create', 'salon', '--workloads-of', 'nobody', ...key],
    ['remove-key', 'feria-sur', ...key],
    ['remove-key', 'feria-sur', '--key-digest', ownKey ?? ''],
    ['add-key', 'plaza-retratos', '--key-digest', ownKey ?? ''],
  ];
  const runs: Run[] = [];
  for (const words of refused) runs.push(await change(words, 1));
  matchSnapshot(import.meta.url, 'refused workspace changes', runs);
  assert.equal(group.logs[0]?.machine.version(), 1);
});

// Guards against a quota that is ended and changed by one command.
test('flags of a quota that make no sense are wrong usage', async t => {
  const {change} = await createDeployment(t);
  const runs = [
    await change(['set', 'feria-sur', '--rate', 'none', '--burst', '1'], 1),
    await change(['set', 'feria-sur', '--rate', 'much'], 1),
    await change(['set', 'feria-sur'], 1),
  ];
  assert.deepEqual(
    runs.map(({exitCode}) => exitCode),
    [2, 2, 2],
  );
  assert.match(runs[0]?.err.join() ?? '', /--rate none ends the quota/);
});

// Guards against a key whose digest can be reversed by trying all keys.
test('a key that could be guessed is wrong usage', async t => {
  const {change, keyFile} = await createDeployment(t);
  writeFileSync(keyFile, 'hunter2');
  const short = await change(
    ['add-key', 'feria-sur', '--key-file', keyFile],
    1,
  );
  const none = await change(['add-key', 'feria-sur'], 1);
  assert.deepEqual([short.exitCode, none.exitCode], [2, 2]);
  assert.match(short.err.join('\n'), /needs at least 16 characters/);
  assert.match(none.err.join('\n'), /either --key-file or --key-digest/);
});

// Guards against a key that ends up where more than the operator can read it.
test('a key is in no output, error or stored state', async t => {
  const {run, change, group, keyFile} = await createDeployment(t);
  const key = ['--key-file', keyFile];
  const seen = [
    await change(['add-key', 'feria-sur', ...key], 1),
    await change(['add-key', 'feria-sur', ...key], 2),
    await run('workspace', 'show', '--keys', '--json'),
    await run('audit', '--json'),
    await run('config', 'show', '--answers'),
    group.logs[0]?.machine.snapshot(),
  ];
  assert.ok(!JSON.stringify(seen).includes(NEW_KEY));
  assert.ok(JSON.stringify(seen).includes(NEW_DIGEST));
  const shown = await run('workspace', 'show', '--json');
  assert.ok(!JSON.stringify(shown).includes(NEW_DIGEST));
});
