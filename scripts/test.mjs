// Runs every compiled spec file with the test runner of Node. Arguments filter
// the files by a part of their path, e.g. `node scripts/test.mjs raft`. Failures
// that KNOWN-RED.txt names are printed and passed over.
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {readKnownRed, splitFailures} from './known_red.mjs';

const filters = process.argv.slice(2);
const files = readdirSync('dist', {recursive: true})
  .map(String)
  .filter(file => file.endsWith('.spec.js'))
  .filter(file => filters.every(part => file.includes(part)))
  .map(file => join('dist', file))
  .sort();

if (files.length === 0) {
  console.error('no spec files found in dist: run npm run build first');
  process.exit(1);
}

const entries = readKnownRed();
const folder = mkdtempSync(join(tmpdir(), 'cyclamenfall-tests-'));
const failedFile = join(folder, 'failed.jsonl');
const result = spawnSync(
  process.execPath,
  [
    '--test',
    '--test-reporter=spec',
    '--test-reporter-destination=stdout',
    '--test-reporter=./scripts/failed_tests_reporter.mjs',
    `--test-reporter-destination=${failedFile}`,
    ...files,
  ],
  {stdio: 'inherit'},
);
const failures = readFailures(failedFile);
rmSync(folder, {recursive: true});
const {known, unknown} = splitFailures(failures, entries);
entries.forEach(entry => {
  const hasFailed = known.some(each => each.name === entry.test);
  console.log(
    `known red (${hasFailed ? 'failed' : 'not seen to fail'}): ${entry.test}; ` +
      `${entry.seen} (issue ${entry.issue})`,
  );
});
const isOnlyKnown = known.length > 0 && unknown.length === 0;
process.exit(isOnlyKnown ? 0 : (result.status ?? 1));

function readFailures(path) {
  return readFileSync(path, 'utf8')
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line));
}
