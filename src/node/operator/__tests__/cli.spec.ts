import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {playgroundText} from '../../config/__tests__/playground.js';
import {createSystem, identity, type Run} from './support/operator_system.js';

// Guards against an exit code that a script would misread: 0 success, 1
// failure, 2 wrong usage, 3 conflict, 4 outcome unknown.
test('changes end with the exit code of their outcome', async t => {
  const {folder, group, network, run} = createSystem(t);
  const answers = join(folder, 'answers.yaml');
  const accept = (...flags: string[]): Promise<Run> =>
    run('answers', 'accept', answers, ...flags);
  const first = await accept(...identity(0, 'operation-1'));
  const conflict = await accept(...identity(0, 'operation-2'));
  group.losesNextAnswer = true;
  const resent = await accept(...identity(1, 'operation-3'));
  network.isolate('operator:1');
  const unknown = await accept(...identity(2, 'operation-4'));
  network.healAll();
  const usage = await accept('--operation-id', 'operation-5');
  writeFileSync(answers, playgroundText('trazo').replace('cuyo-a', 'cuyo-b'));
  const broken = await accept(...identity(2, 'operation-6'));
  matchSnapshot(import.meta.url, 'exit codes', {
    first,
    conflict,
    resent,
    unknown,
    usage,
    broken,
  });
  assert.equal(group.logs[0]?.machine.version(), 2);
});

// Guards against a change that is reported as in force while an instance
// still serves by the version before it.
test('waiting ends when the last instance has the version', async t => {
  const {folder, behind, run} = createSystem(t);
  const answers = join(folder, 'answers.yaml');
  behind.set('cuyo-2', 0);
  setTimeout(() => behind.delete('cuyo-2'), 3_000);
  const flags = [...identity(0, 'operation-1'), '--wait'];
  const waited = await run('answers', 'accept', answers, ...flags);
  behind.set('cuyo-3', 1);
  const late = await run(
    'answers',
    'accept',
    answers,
    ...identity(1, 'operation-2'),
    '--wait',
    '--timeout-ms',
    '2000',
  );
  matchSnapshot(import.meta.url, 'waiting', {waited, late});
});

test('the commands show the system as tables and as JSON', async t => {
  const {folder, network, run} = createSystem(t);
  const answers = join(folder, 'answers.yaml');
  const empty = await run('config', 'show');
  await run('answers', 'accept', answers, ...identity(0, 'operation-1'));
  await run('answers', 'accept', answers, ...identity(0, 'operation-2'));
  network.detach('127.0.0.1:17102');
  network.detach('127.0.0.1:17207');
  matchSnapshot(import.meta.url, 'tables', {
    empty,
    show: await run('config', 'show', 'ranks[0]'),
    explain: await run('config', 'explain', 'links[0]'),
    unchanged: await run('answers', 'diff', answers),
    history: await run('config', 'history'),
    audit: await run('audit', '--limit', '5'),
    auditJson: await run('audit', '--limit', '1', '--json'),
    status: await run('status'),
    upstreams: await run('upstreams'),
    measures: await run('measures'),
    drain: await run('drain', 'centro-1', '--wait'),
    drainUnknown: await run('drain', 'centro-9'),
    removed: await run(
      ...['member', 'remove', 'cuyo-2#1', '--operation-id', 'operation-3'],
    ),
    statusAfter: await run('status'),
  });
});

// Guards against a questionnaire that its own check refuses.
test('a new questionnaire is valid and is not overwritten', async t => {
  const {folder, run} = createSystem(t);
  const file = join(folder, 'new.yaml');
  const written = await run('answers', 'init', file);
  const checked = await run('answers', 'check', file);
  const again = await run('answers', 'init', file);
  assert.deepEqual(
    [written, checked, again].map(({exitCode}) => exitCode),
    [0, 0, 1],
  );
});

test('wrong usage ends with 2 before any call', async t => {
  const {run} = createSystem(t);
  const wrong = [
    [],
    ['bogus'],
    ['answers', 'bogus'],
    ['answers', 'check', '--bogus'],
    ['answers', 'check', 'one', 'two'],
    ['audit', '--limit', 'many'],
    ['answers', 'diff', '--against'],
    ['member', 'add'],
    ['status', '--settings', 'missing.yaml'],
  ];
  const runs: Run[] = [];
  for (const words of wrong) runs.push(await run(...words));
  assert.deepEqual(
    runs.map(({exitCode}) => exitCode),
    wrong.map(() => 2),
  );
  assert.ok(runs.every(({out}) => out.length === 0));
});
