import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {parseAnswers} from '../answers.js';
import {formatProblem} from '../source_text.js';
import {playgroundText} from './playground.js';

// Each entry breaks the Trazo answers in one way: [name, text, replacement].
const BROKEN: readonly (readonly [string, string, string])[] = [
  ['not YAML', 'priority: tail_latency', 'priority: [tail_latency'],
  ['unknown key', 'priority:', 'routes: []\npriority:'],
  ['unknown nested key', '    disk: true', '    disc: true\n    disk: true'],
  ['unknown choice', 'tail_latency', 'fastest'],
  ['missing value', '    home: centro\n', ''],
  ['wrong type', 'slots: 8', 'slots: many'],
  ['bad address', '127.0.0.1:17101', '127.0.0.256:17101'],
  ['bad port', '127.0.0.1:17101', '127.0.0.1:70000'],
  ['address used twice', '127.0.0.1:17102', '127.0.0.1:17101'],
  ['instance used twice', 'id: centro-2', 'id: centro-1'],
  ['unknown domain', 'domain: cuyo-a', 'domain: cuyo-b'],
  ['domain without entries', '[patagonia-a]', '[patagonia-a, patagonia-b]'],
  ['unknown model', 'models: [caption]', 'models: [captions]'],
  ['unknown rank', 'rank: urgent', 'rank: immediate'],
  [
    'unknown rank of a workspace',
    '    home: centro\n',
    '    home: centro\n    rank: immediate\n',
  ],
  ['residency without home', 'residency: [cuyo]', 'residency: [centro]'],
  ['unknown residency', 'residency: [cuyo]', 'residency: [cuyo, pampa]'],
  ['service not at home', 'service: booking', 'service: orders'],
  ['idempotency not stated', '        idempotent: false\n', ''],
  [
    'model and service',
    'service: booking',
    'service: booking\n        model: chat',
  ],
  ['floors above one', 'floorShare: 0.3', 'floorShare: 0.9'],
  ['control without disk', 'disk: true', 'disk: false'],
  ...[
    'unit: calls, ratePerS: 1, burst: 1',
    'unit: requests, ratePerS: 0, burst: 1',
    'unit: requests, ratePerS: .inf, burst: 1',
    'unit: requests, ratePerS: 1, burst: -1',
    'unit: requests, ratePerS: 1',
    'unit: tokens, ratePerS: 1, burst: 1',
  ].map(
    quota =>
      [
        `quota of ${quota}`,
        '    home: centro\n',
        `    home: centro\n    quota: {${quota}}\n`,
      ] as const,
  ),
  ['half an entry', '    innerAddress: 127.0.0.1:17101\n', ''],
];

// Guards against an operator's mistake that is accepted, or reported without
// the place where it has to be corrected.
test('bad answers are refused with line, column and path', () => {
  const text = playgroundText('trazo');
  const report = BROKEN.map(([name, from, to]) => {
    const broken = text.replace(from, to);
    const result = parseAnswers(broken, 'answers.yaml');
    const problems = result.isErr() ? result.error.map(formatProblem) : [];
    return {name, changed: broken !== text, problems};
  });
  matchSnapshot(import.meta.url, 'bad answers', report);
});

// Guards against a caller's key that two workspaces could be charged for.
test('a key of two workspaces is refused', () => {
  const text = playgroundText('zsaner');
  const digests = [...text.matchAll(/- ([0-9a-f]{64})/g)].map(([, it]) => it);
  const broken = text.replace(digests[1] ?? '', digests[0] ?? '');
  const result = parseAnswers(broken, 'answers.yaml');
  matchSnapshot(
    import.meta.url,
    'shared key',
    result.isErr() ? result.error.map(formatProblem) : [],
  );
});
