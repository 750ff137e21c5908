import assert from 'node:assert/strict';
import {test} from 'node:test';

interface Failure {
  readonly file: string;
  readonly name: string;
}

interface KnownRed {
  parseKnownRed(text: string): readonly Readonly<Record<string, string>>[];
  splitFailures(
    failures: readonly Failure[],
    entries: readonly Readonly<Record<string, string>>[],
  ): {known: readonly Failure[]; unknown: readonly Failure[]};
}

const MODULE = new URL('../../../scripts/known_red.mjs', import.meta.url);
const knownRed = (await import(MODULE.href)) as KnownRed;

const ENTRY = `# tests that fail for a known fault
test: a leader keeps its lease
command: npm test
seed: none
seen: two leaders at 40 ms: once in ten runs
issue: 12
`;

// Guards against a list that hides failures which it does not name.
test('only the failures that are listed by name are known', () => {
  const entries = knownRed.parseKnownRed(ENTRY);
  const listed = {file: 'a.spec.js', name: 'a leader keeps its lease'};
  const other = {file: 'a.spec.js', name: 'a leader keeps its lease twice'};
  assert.deepEqual(knownRed.splitFailures([listed, other], entries), {
    known: [listed],
    unknown: [other],
  });
});

// Guards against an entry that says nothing of what was seen.
test('an entry without all its fields is an error', () => {
  assert.throws(
    () => knownRed.parseKnownRed(ENTRY.replace(/seen.*\n/, '')),
    /seen missing/,
  );
});
