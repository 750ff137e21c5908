/** Runs drawn scenarios as tests. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {runDoubleFaults} from '../soak.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** Registers one test for each seed; those known to fail run as `todo`. */
export function runSeeds(seeds: readonly number[]): void {
  const known = readKnownRed();
  seeds.forEach(seed => {
    const name = `double faults, seed ${seed}`;
    const isKnown = known.some(line => line.includes(name));
    const options = isKnown ? {todo: `see ${KNOWN_RED_FILE}`} : {};
    test(name, options, async () => {
      const result = await runDoubleFaults(seed);
      assert.deepEqual(result.failures, []);
    });
  });
}

function readKnownRed(): readonly string[] {
  try {
    return readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  } catch {
    return [];
  }
}
