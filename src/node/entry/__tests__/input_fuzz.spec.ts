import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import fc from 'fast-check';
import {stringify} from 'yaml';
import {parseAnswers} from '../../config/answers.js';
import {
  playgroundAnswers,
  playgroundText,
} from '../../config/__tests__/playground.js';
import {configurationSchema} from '../../config/configuration.js';
import {generate} from '../../config/generate.js';
import {
  loadControlSettings,
  loadEntrySettings,
  loadOperatorSettings,
} from '../../config/settings.js';
import {formatProblem, type LocatedProblem} from '../../config/source_text.js';
import {loadStandinSettings} from '../../standin/standin_settings.js';
import {classifyModelRequest, findWorkspace} from '../request.js';
import {asId} from '../../types/ids.js';

const RUNS = {seed: 20261204, numRuns: 300};
const FILE = 'answers.yaml';

function assertLocated(problems: readonly LocatedProblem[]): void {
  assert.ok(problems.length > 0);
  problems.forEach(problem => {
    assert.match(formatProblem(problem), /^.+:\d+:\d+: \S/s);
    assert.ok(problem.line >= 1 && problem.column >= 1);
  });
}

/** Answers that are accepted must generate a valid configuration. */
function checkAnswersText(text: string): boolean {
  const parsed = parseAnswers(text, FILE);
  if (parsed.isErr()) {
    assertLocated(parsed.error);
    return false;
  }
  configurationSchema.parse(generate(parsed.value));
  return true;
}

type Path = ReadonlyArray<string | number>;

function pathsOf(value: unknown, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const inner = Object.entries(value).flatMap(([key, each]) =>
    pathsOf(each, [...path, Array.isArray(value) ? Number(key) : key]),
  );
  return [path, ...inner];
}

function replaceAt(value: unknown, path: Path, replacement: unknown): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return replacement;
  const copy: Record<string | number, unknown> = Array.isArray(value)
    ? ([...(value as unknown[])] as never)
    : {...(value as object)};
  copy[key] = replaceAt(copy[key], rest, replacement);
  return copy;
}

const oddValue = fc.oneof(
  fc.constantFrom(null, '', 0, -1, 1e308, NaN, [], {}, '__proto__', '~'),
  fc.jsonValue(),
);
const edits = fc.array(
  fc.record({
    at: fc.double({min: 0, max: 0.999_999, noNaN: true}),
    removed: fc.integer({min: 0, max: 40}),
    inserted: fc.oneof(
      fc.string({maxLength: 20}),
      fc.constantFrom('\n', '  ', '- ', ': ', '&a ', '*a', '|', '\t', '{', ']'),
    ),
  }),
  {minLength: 1, maxLength: 4},
);

const editText = (
  text: string,
  changes: ReadonlyArray<{at: number; removed: number; inserted: string}>,
): string =>
  changes.reduce((edited, {at, removed, inserted}) => {
    const start = Math.floor(at * edited.length);
    return edited.slice(0, start) + inserted + edited.slice(start + removed);
  }, text);

test('damaged answers text gives located problems or a valid configuration', () => {
  const text = playgroundText('trazo');
  fc.assert(
    fc.property(edits, changes => {
      checkAnswersText(editText(text, changes));
    }),
    {...RUNS, numRuns: 150},
  );
});

test('answers with odd values give located problems or a valid configuration', () => {
  const answers = playgroundAnswers('zsaner');
  const paths = pathsOf(answers);
  fc.assert(
    fc.property(fc.constantFrom(...paths), oddValue, (path, value) => {
      checkAnswersText(stringify(replaceAt(answers, path, value)));
    }),
    {...RUNS, numRuns: 150},
  );
});

test('settings files of any content are refused with located problems', t => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const file = join(folder, 'settings.yaml');
  const valid = stringify({
    instanceId: 'entry-1',
    domainId: 'domain',
    regionId: 'region',
    listen: {callerAddress: '127.0.0.1:1', innerAddress: '127.0.0.1:2'},
    clusterSecret: 'a secret of this test only',
    seedAddresses: ['127.0.0.1:3'],
  });
  const loaders = [
    loadEntrySettings,
    loadControlSettings,
    loadOperatorSettings,
    loadStandinSettings,
  ];
  const text = fc.oneof(
    edits.map(changes => editText(valid, changes)),
    fc.jsonValue().map(value => stringify(value)),
    fc.string(),
  );
  fc.assert(
    fc.property(text, content => {
      writeFileSync(file, content);
      loaders.forEach(load => {
        const loaded = load(file);
        if (loaded.isErr()) assertLocated(loaded.error);
      });
    }),
    RUNS,
  );
  writeFileSync(file, Buffer.from([0xff, 0xfe, 0x00, 0x80]));
  loaders.forEach(load => assertLocated(load(file)._unsafeUnwrapErr()));
  loaders.forEach(load => assertLocated(load(folder)._unsafeUnwrapErr()));
});

test('bodies and keys of any bytes are classified or refused without exceptions', () => {
  const configuration = generate(playgroundAnswers('trazo'));
  const [workspace] = configuration.workspaces;
  assert.ok(workspace !== undefined);
  const modelId = workspace.workloads.find(each => each.modelId)?.modelId;
  const body = fc.oneof(
    fc.uint8Array({maxLength: 200}).map(bytes => Buffer.from(bytes)),
    fc.json().map(text => Buffer.from(text)),
    fc
      .record({
        model: fc.constant(modelId),
        prompt: fc.oneof(fc.string(), fc.jsonValue()),
        messages: fc.oneof(
          fc.array(fc.record({role: fc.string(), content: fc.jsonValue()})),
          fc.jsonValue(),
        ),
        max_tokens: fc.oneof(fc.integer(), fc.double()),
      })
      .map(value => Buffer.from(JSON.stringify(value))),
  );
  fc.assert(
    fc.property(body, fc.double(), fc.string(), (bytes, deadlineMs, key) => {
      const classified = classifyModelRequest(
        configuration,
        workspace,
        {
          requestId: asId('request'),
          path: '/v1/completions',
          body: bytes,
          deadlineMs,
          isForwarded: false,
        },
        1_000,
      );
      if (classified.isOk()) {
        const {deadlineAtMs, expectedTokens} = classified.value;
        assert.ok(deadlineAtMs > 1_000 && Number.isFinite(deadlineAtMs));
        assert.ok(expectedTokens > 0);
      } else {
        assert.ok(
          ['bad_request', 'not_found'].includes(classified.error.code),
          classified.error.code,
        );
      }
      assert.ok(findWorkspace(configuration, `Bearer ${key}`).isErr());
    }),
    RUNS,
  );
});
