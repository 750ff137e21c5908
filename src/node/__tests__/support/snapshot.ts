/**
 * Snapshot assertion for `node:test`, which has none on Node 20. A snapshot is
 * a JSON file in `__snapshots__` beside the spec file's source. It is written
 * only when the environment sets UPDATE_SNAPSHOTS=1, and never in CI.
 */
import assert from 'node:assert/strict';
import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {dirname, join, sep} from 'node:path';
import {fileURLToPath} from 'node:url';

const UPDATE = process.env['UPDATE_SNAPSHOTS'] === '1' && !process.env['CI'];

function snapshotFile(specUrl: string, name: string): string {
  const compiled = fileURLToPath(specUrl);
  // The adapter is compiled into a folder of its own, beside what it imports.
  const source = compiled
    .replace(`${sep}dist${sep}platform_build${sep}`, sep)
    .replace(`${sep}dist${sep}`, `${sep}src${sep}`);
  const fileName = `${name.replace(/[^a-zA-Z0-9]+/g, '_')}.json`;
  return join(dirname(source), '__snapshots__', fileName);
}

/** Compares `value`, as JSON, with the committed snapshot called `name`. */
export function matchSnapshot(
  specUrl: string,
  name: string,
  value: unknown,
): void {
  const file = snapshotFile(specUrl, name);
  const actual = `${JSON.stringify(value, null, 2)}\n`;
  if (UPDATE) {
    mkdirSync(dirname(file), {recursive: true});
    writeFileSync(file, actual);
    return;
  }
  assert.ok(existsSync(file), `snapshot ${file} is missing`);
  assert.equal(actual, readFileSync(file, 'utf8'));
}
