/** Runs the scenario files of one folder as tests. */
import assert from 'node:assert/strict';
import {readdirSync} from 'node:fs';
import {test} from 'node:test';
import {runScenarioFile} from '../main.js';

/** Registers one test for each file below `scenarios/<folder>`. */
export function runFolder(folder: string): void {
  readdirSync(`scenarios/${folder}`)
    .filter(name => name.endsWith('.yaml'))
    .sort()
    .forEach(name =>
      test(`${folder}/${name}`, async () => {
        const result = await runScenarioFile(`scenarios/${folder}/${name}`);
        assert.deepEqual(result.failures, []);
      }),
    );
}
